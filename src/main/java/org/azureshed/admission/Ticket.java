package org.azureshed.admission;

/**
 * Permission to use one slot of a target, from admission until {@link #close}.
 *
 * <pre>{@code
 * switch (admission.admit(request, System.nanoTime()).await(System::nanoTime)) {
 *     case Ticket ticket -> ticket.close(send(request), System.nanoTime());
 *     case Refusal refusal -> answer(refusal);
 * }
 * }</pre>
 */
public final class Ticket implements Decision {
    private final TargetGate gate;
    private final Request request;
    private final long admittedAtNanos;
    // Guarded by the lock of the gate.
    private Lane lane;
    private boolean movedToLong;
    private boolean closed;

    Ticket(TargetGate gate, Request request, Lane lane, long admittedAtNanos) {
        this.gate = gate;
        this.request = request;
        this.lane = lane;
        this.admittedAtNanos = admittedAtNanos;
    }

    /**
     * The request that was admitted.
     *
     * @return the request as passed to {@link Admission#admit}
     */
    public Request request() {
        return request;
    }

    /**
     * The time at which the slot was granted.
     *
     * @return nanoseconds on the clock of the {@code nowNanos} parameters
     */
    public long admittedAtNanos() {
        return admittedAtNanos;
    }

    /**
     * Frees the slot. Only the first call has an effect.
     *
     * @param result how the request ended
     * @param nowNanos current time
     * @return true if this call freed the slot, false if the ticket was already closed
     */
    public boolean close(TicketResult result, long nowNanos) {
        return gate.close(this, result, nowNanos);
    }

    Lane lane() {
        return lane;
    }

    void moveToLong() {
        lane = Lane.LONG;
        movedToLong = true;
    }

    boolean movedToLong() {
        return movedToLong;
    }

    boolean markClosed() {
        boolean first = !closed;
        closed = true;
        return first;
    }
}
