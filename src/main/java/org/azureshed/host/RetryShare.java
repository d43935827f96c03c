package org.azureshed.host;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * One target's share of its service's retry budget. Repeats are counted where they arrive: a target
 * sees a steady part of the service's requests, and a repeat that one target may not run can be
 * offered to the next, so that together they use the whole budget. Not thread-safe.
 */
public final class RetryShare {
    /** The rest covers targets that join or leave before all others know. */
    private static final double USED_PART = 0.85;

    /** Longest debt in multiples of the capacity; more would stop repeats for too long. */
    private static final double MAX_DEBT = 2;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final double ratio;
    private final double windowSeconds;
    private final double slack;
    private double tokens;
    private double capacity;
    private long refilledNanos;

    /**
     * Creates a share.
     *
     * @param ratio retries per request of the service, 0 to 1
     * @param slack retries of the service beyond it in each window
     * @param windowSeconds length of the window in seconds
     * @param targets targets that share the budget, at least 1
     * @param nowNanos current time
     */
    public RetryShare(
            double ratio, double slack, double windowSeconds, int targets, long nowNanos) {
        checkArgument(targets > 0, "targets must be positive, not %s", targets);
        this.ratio = ratio * USED_PART;
        this.slack = slack * USED_PART;
        this.windowSeconds = windowSeconds;
        this.refilledNanos = nowNanos;
        resize(targets);
        this.tokens = capacity;
    }

    /**
     * Applies a change of the service's size.
     *
     * @param targets targets that share the budget
     */
    public void resize(int targets) {
        // Half of the share may be spent at once, the other half flows in during the window.
        capacity = Math.max(1, slack / 2 / Math.max(1, targets));
        tokens = Math.min(tokens, capacity);
    }

    /** Counts the first attempt of a request. */
    public void requestStarted() {
        tokens = Math.min(capacity, tokens + ratio);
    }

    /**
     * Counts a first attempt that may come from a repeated run: it counts as a repeat, but is not
     * refused.
     */
    public void derivedRequestStarted() {
        tokens = Math.max(-MAX_DEBT * capacity, tokens - 1);
    }

    /**
     * Takes a token for a retry.
     *
     * @param nowNanos current time
     * @return true if the retry is allowed
     */
    public boolean tryRetry(long nowNanos) {
        double seconds = (nowNanos - refilledNanos) / NANOS_PER_SECOND;
        refilledNanos = nowNanos;
        tokens = Math.min(capacity, tokens + seconds * refillPerSecond());
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private double refillPerSecond() {
        // A capacity of one token may be more than this target's half; the refill makes up for it.
        return Math.max(0.02, capacity > 1 ? capacity / windowSeconds : 0.02);
    }
}
