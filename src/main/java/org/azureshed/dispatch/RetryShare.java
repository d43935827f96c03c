package org.azureshed.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * This node's share of the fleet's retry budget for one service. No node tells another about its
 * retries, so each may use only a fixed part. Not thread-safe.
 */
public final class RetryShare {
    /** Left for the calls that a repeated run makes, which count against the called service. */
    private static final double USED_PART = 0.7;

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
     * @param ratio retries per request that the fleet may send, 0 to 1
     * @param slack retries that the fleet may send beyond it in each window
     * @param windowSeconds length of the window in seconds
     * @param nodes nodes that share the budget, at least 1
     * @param nowNanos current time
     */
    public RetryShare(
            double ratio, double slack, double windowSeconds, int nodes, long nowNanos) {
        checkArgument(nodes > 0, "nodes must be positive, not %s", nodes);
        this.ratio = ratio * USED_PART;
        this.slack = slack * USED_PART;
        this.windowSeconds = windowSeconds;
        this.refilledNanos = nowNanos;
        resize(nodes);
        this.tokens = capacity;
    }

    /**
     * Applies a change of the fleet's size.
     *
     * @param nodes nodes that share the budget
     */
    public void resize(int nodes) {
        // Half of the share may be spent at once, the other half flows in during the window.
        capacity = Math.max(1, slack / 2 / Math.max(1, nodes));
        tokens = Math.min(tokens, capacity);
    }

    /** Counts the first attempt of a request. */
    public void requestStarted() {
        tokens = Math.min(capacity, tokens + ratio);
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
        // A capacity of one token may be more than this node's half; the refill makes up for it.
        return Math.max(0.02, capacity > 1 ? capacity / windowSeconds : 0.02);
    }
}
