package org.azureshed.admission;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A request in the queue of a target. */
final class Waiter {
    /**
     * Deadlines in the same interval of this length count as equal. Exact deadlines are practically
     * never equal, so class priority and fairness between organisations would have no effect.
     */
    private static final long DEADLINE_BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

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

    long deadlineBucket() {
        return Math.floorDiv(request.deadlineNanos(), DEADLINE_BUCKET_NANOS);
    }

    boolean expired(long nowNanos) {
        return expiresAtNanos - nowNanos <= 0;
    }
}
