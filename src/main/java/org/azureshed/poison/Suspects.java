package org.azureshed.poison;

/** Holds the current view of suspects for the threads that handle requests. Thread-safe. */
public final class Suspects {
    private volatile PoisonView view = PoisonView.empty();

    /**
     * The latest published view.
     *
     * @return an immutable view
     */
    public PoisonView view() {
        return view;
    }

    /**
     * Replaces the view.
     *
     * @param next the view that {@link #view} returns from now on
     */
    public void publish(PoisonView next) {
        view = next;
    }
}
