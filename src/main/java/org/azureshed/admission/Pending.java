package org.azureshed.admission;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;

/** A request for admission, which is decided immediately or after a wait in the queue. */
public final class Pending {
    private final TargetGate gate;
    private final Waiter waiter;
    private final CompletableFuture<Decision> decision;

    private Pending(TargetGate gate, Waiter waiter, CompletableFuture<Decision> decision) {
        this.gate = gate;
        this.waiter = waiter;
        this.decision = decision;
    }

    static Pending decided(Decision decision) {
        return new Pending(null, null, CompletableFuture.completedFuture(decision));
    }

    static Pending queued(TargetGate gate, Waiter waiter) {
        return new Pending(gate, waiter, waiter.decision());
    }

    /**
     * Returns a future of the decision. No timer completes it: a caller that uses this future
     * instead of {@link #await} calls {@link #expire} at {@link #expiresAtNanos}.
     *
     * @return completes when the request is admitted or refused; never completes if {@link #cancel}
     *     withdrew the request
     */
    public CompletableFuture<Decision> decision() {
        return decision;
    }

    /**
     * The time at which the wait for a slot ends.
     *
     * @return nanoseconds on the clock of the {@code nowNanos} parameters; the smallest value if
     *     the request did not wait
     */
    public long expiresAtNanos() {
        return waiter == null ? Long.MIN_VALUE : waiter.expiresAtNanos();
    }

    /**
     * Refuses the request if its wait has ended without a slot.
     *
     * @param nowNanos current time
     */
    public void expire(long nowNanos) {
        if (waiter != null) {
            gate.update(nowNanos);
        }
    }

    /**
     * Withdraws the request. A ticket that was granted in the meantime is closed as not run, so the
     * caller must not have used it.
     *
     * @param nowNanos current time
     */
    public void cancel(long nowNanos) {
        if (waiter == null || !gate.withdraw(waiter)) {
            decision.thenAccept(
                    completed -> {
                        if (completed instanceof Ticket ticket) {
                            ticket.close(TicketResult.NOT_RUN, nowNanos);
                        }
                    });
        }
    }

    /**
     * Blocks until the request is admitted or refused.
     *
     * @param nanoClock source of the {@code nowNanos} parameters
     * @return the decision
     * @throws InterruptedException if the thread is interrupted; the request is withdrawn
     */
    public Decision await(LongSupplier nanoClock) throws InterruptedException {
        try {
            while (true) {
                try {
                    long remainingNanos = Math.max(1, expiresAtNanos() - nanoClock.getAsLong());
                    return waiter == null
                            ? decision.get()
                            : decision.get(remainingNanos, TimeUnit.NANOSECONDS);
                } catch (TimeoutException expected) {
                    expire(nanoClock.getAsLong());
                }
            }
        } catch (InterruptedException e) {
            cancel(nanoClock.getAsLong());
            throw e;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a decision never completes with an error", e);
        }
    }
}
