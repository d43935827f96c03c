package org.azureshed.host;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * One target's share of its service's retry budget. Repeats are counted where they arrive: a target
 * sees a steady part of the service's requests, and a repeat that one target may not run can be
 * offered to the next, so that together they use the whole budget. Not thread-safe.
 *
 * <p>Requests and repeats of the last window are counted in buckets, so that the whole budget of a
 * window can be used at once when many requests begin to fail.
 */
public final class RetryShare {
    /** The rest covers targets that join or leave before all others know. */
    private static final double USED_PART = 0.85;

    /** Buckets of a window; one more is kept, since the present bucket is not complete. */
    private static final int BUCKETS = 20;

    private final double ratio;
    private final double slack;
    private final long bucketNanos;
    private final long startNanos;
    private final int[] requests = new int[BUCKETS + 1];
    private final int[] repeats = new int[BUCKETS + 1];
    private long bucket;
    private int targets;

    /**
     * Creates a share. The part of the budget that does not depend on requests grows from nothing
     * during the first window, since a former process may have used it just before.
     *
     * @param ratio retries per request of the service, 0 to 1
     * @param slack retries of the service beyond it in each window
     * @param windowSeconds length of the window in seconds
     * @param targets targets that share the budget, at least 1
     * @param nowNanos current time
     */
    public RetryShare(
            double ratio, double slack, double windowSeconds, int targets, long nowNanos) {
        this.ratio = ratio;
        this.slack = slack;
        this.bucketNanos = (long) (windowSeconds * TimeUnit.SECONDS.toNanos(1) / BUCKETS);
        this.startNanos = nowNanos;
        resize(targets);
    }

    /**
     * Applies a change of the service's size.
     *
     * @param sharing targets that share the budget
     */
    public void resize(int sharing) {
        checkArgument(sharing > 0, "targets must be positive, not %s", sharing);
        targets = sharing;
    }

    /**
     * Counts the first attempt of a request.
     *
     * @param nowNanos current time
     */
    public void requestStarted(long nowNanos) {
        requests[slot(nowNanos)]++;
    }

    /**
     * Counts a first attempt that may come from a repeated run: it counts as a repeat, but is not
     * refused.
     *
     * @param nowNanos current time
     */
    public void derivedRequestStarted(long nowNanos) {
        repeats[slot(nowNanos)]++;
    }

    /**
     * Counts a retry, if the budget allows it.
     *
     * @param nowNanos current time
     * @return true if the retry is allowed
     */
    public boolean tryRetry(long nowNanos) {
        int slot = slot(nowNanos);
        int oldest = (int) ((bucket + 1) % requests.length);
        int started = -requests[oldest];
        int repeated = 0;
        for (int i = 0; i < requests.length; i++) {
            started += requests[i];
            repeated += repeats[i];
        }
        double age = (double) (nowNanos - startNanos) / (bucketNanos * BUCKETS);
        double allowed = ratio * started + Math.min(1, age) * slack / targets;
        // A single repeat is within the budget of a small service also right after the start.
        double least = Math.min(1, slack / targets);
        if (repeated + 1 > Math.max(least, USED_PART * allowed)) {
            return false;
        }
        repeats[slot]++;
        return true;
    }

    /** Moves to the bucket of the present time and clears those that were passed over. */
    private int slot(long nowNanos) {
        long next = (nowNanos - startNanos) / bucketNanos;
        long first = Math.max(bucket + 1, next - requests.length + 1);
        for (long passed = first; passed <= next; passed++) {
            requests[(int) (passed % requests.length)] = 0;
            repeats[(int) (passed % requests.length)] = 0;
        }
        bucket = Math.max(bucket, next);
        return (int) (bucket % requests.length);
    }
}
