package org.azureshed.admission;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A request in the queue of a target. */
final class Waiter {
    /**
     * Deadlines within this span count as equal. Exact deadlines are never equal, so that class
     * priority and fairness would have no effect.
     */
    private static final long DEADLINE_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final Request request;
    private final Lane lane;
    private final long sequence;
    private final long expiresAtNanos;
    private final CompletableFuture<Decision> decision = new CompletableFuture<>();

    Waiter(Request request, Lane lane, long sequence, long expiresAtNanos) {
        this.request = request;
        this.lane = lane;
        this.sequence = sequence;
        this.expiresAtNanos = expiresAtNanos;
    }

    Request request() {
        return request;
    }

    Lane lane() {
        return lane;
    }

    long sequence() {
        return sequence;
    }

    long expiresAtNanos() {
        return expiresAtNanos;
    }

    CompletableFuture<Decision> decision() {
        return decision;
    }

    long deadlineStep() {
        return Math.floorDiv(request.deadlineNanos(), DEADLINE_STEP_NANOS);
    }

    boolean expired(long nowNanos) {
        return expiresAtNanos - nowNanos <= 0;
    }
}
