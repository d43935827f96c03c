package org.azureshed.poison;

/** Holds the view of suspects that traffic threads read. Thread-safe. */
public final class Suspects {
    private volatile PoisonView view = PoisonView.empty();

    /**
     * The view that was published last.
     *
     * @return an immutable view
     */
    public PoisonView view() {
        return view;
    }

    /**
     * Replaces the view.
     *
     * @param next the new view
     */
    public void publish(PoisonView next) {
        view = next;
    }
}
