package org.azureshed.host;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * One target's share of its service's retry budget. Retries are counted at the target that receives
 * them: each target receives a steady fraction of the service's requests, and a retry that one
 * target refuses can be offered to the next, so the targets together can use the whole budget
 * without coordination. Not thread-safe.
 *
 * <p>Requests and retries are counted over a sliding window of buckets, so that the whole budget of
 * a window is available at once when many requests begin to fail.
 */
public final class RetryBudgetShare {
    /**
     * Fraction of the share that is used. The rest covers targets that join or leave before all
     * others know.
     */
    private static final double USABLE_FRACTION = 0.85;

    /** Buckets per window; one more is kept, since the current bucket is incomplete. */
    private static final int BUCKETS = 20;

    private final double ratio;
    private final double slack;
    private final long bucketNanos;
    private final long startNanos;
    private final int[] requests = new int[BUCKETS + 1];
    private final int[] retries = new int[BUCKETS + 1];
    private long bucket;
    private int targets;

    /**
     * Creates a share. The slack grows from 0 during the first window, since the previous process
     * of this node may have used it up just before its end.
     *
     * @param ratio retries per request of the service, 0 to 1
     * @param slack retries of the service in each window that are allowed in addition to the ratio
     * @param windowSeconds length of the window in seconds
     * @param targets number of targets that share the budget, at least 1
     * @param nowNanos current time
     */
    public RetryBudgetShare(
            double ratio, double slack, double windowSeconds, int targets, long nowNanos) {
        this.ratio = ratio;
        this.slack = slack;
        this.bucketNanos = (long) (windowSeconds * TimeUnit.SECONDS.toNanos(1) / BUCKETS);
        this.startNanos = nowNanos;
        setTargets(targets);
    }

    /**
     * Sets the number of targets that share the budget.
     *
     * @param newTargets number of targets, at least 1
     */
    public void setTargets(int newTargets) {
        checkArgument(newTargets > 0, "targets must be positive, not %s", newTargets);
        targets = newTargets;
    }

    /**
     * Counts the first attempt of a request.
     *
     * @param nowNanos current time
     */
    public void requestStarted(long nowNanos) {
        requests[bucketIndex(nowNanos)]++;
    }

    /**
     * Counts a first attempt that may be caused by a retry elsewhere. It uses up budget like a
     * retry, but is never refused.
     *
     * @param nowNanos current time
     */
    public void retryInducedRequestStarted(long nowNanos) {
        retries[bucketIndex(nowNanos)]++;
    }

    /**
     * Counts a retry if the budget allows it.
     *
     * @param nowNanos current time
     * @return true if the retry is allowed
     */
    public boolean tryRetry(long nowNanos) {
        if (!allowsRetry(nowNanos)) {
            return false;
        }
        retries[bucketIndex(nowNanos)]++;
        return true;
    }

    /**
     * Whether the budget allows a retry, without counting one.
     *
     * @param nowNanos current time
     * @return true if {@link #tryRetry} would allow it now
     */
    public boolean allowsRetry(long nowNanos) {
        bucketIndex(nowNanos);
        // The oldest bucket lies partly before the window. Only its retries count, not its
        // requests, so that the budget is never overestimated.
        int oldest = (int) ((bucket + 1) % requests.length);
        int started = -requests[oldest];
        int retried = 0;
        for (int i = 0; i < requests.length; i++) {
            started += requests[i];
            retried += retries[i];
        }
        double age = (double) (nowNanos - startNanos) / (bucketNanos * BUCKETS);
        double allowed = ratio * started + Math.min(1, age) * slack / targets;
        // With a slack of at least one retry per target, one is allowed even right after the start.
        double minimum = Math.min(1, slack / targets);
        return retried + 1 <= Math.max(minimum, USABLE_FRACTION * allowed);
    }

    /** Advances to the current time's bucket, clears skipped buckets and returns its index. */
    private int bucketIndex(long nowNanos) {
        long next = (nowNanos - startNanos) / bucketNanos;
        long first = Math.max(bucket + 1, next - requests.length + 1);
        for (long skipped = first; skipped <= next; skipped++) {
            requests[(int) (skipped % requests.length)] = 0;
            retries[(int) (skipped % requests.length)] = 0;
        }
        bucket = Math.max(bucket, next);
        return (int) (bucket % requests.length);
    }
}
