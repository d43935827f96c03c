package org.azureshed.ejection;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Summary of the requests of one class at one target in a time window, as measured by the host.
 *
 * @param requestClass name of the class
 * @param samples requests that ended within the window, without shed and refused ones, and those
 *     that are running unusually long
 * @param errors number of {@code samples} that failed
 * @param timed number of {@code samples} with a service time: those that did not fail, failed ones
 *     that took longer than the median, such as time-outs, and running ones
 * @param medianMicros median service time, in microseconds
 * @param p75Micros 75th percentile of the service time, in microseconds
 * @param p90Micros 90th percentile of the service time, in microseconds
 * @param spanMillis length of the window in milliseconds; it is longer if there are few requests
 * @param totalSamples requests that ended since the host began to measure the target; the
 *     difference between two digests is the number of requests between them; 0 if the host does not
 *     send it
 * @param totalErrors number of {@code totalSamples} that failed
 */
public record ClassDigest(
        String requestClass,
        int samples,
        int errors,
        int timed,
        long medianMicros,
        long p75Micros,
        long p90Micros,
        long spanMillis,
        long totalSamples,
        long totalErrors) {
    /** Creates a digest without totals, as nodes of earlier versions send it. */
    public ClassDigest(
            String requestClass,
            int samples,
            int errors,
            int timed,
            long medianMicros,
            long p75Micros,
            long p90Micros,
            long spanMillis) {
        this(
                requestClass,
                samples,
                errors,
                timed,
                medianMicros,
                p75Micros,
                p90Micros,
                spanMillis,
                0,
                0);
    }

    /** Rejects negative or inconsistent values. */
    public ClassDigest {
        checkArgument(!requestClass.isEmpty(), "class name of a digest is empty");
        checkArgument(
                errors >= 0 && errors <= samples && timed >= 0 && timed <= samples,
                "%s errors and %s times in %s samples",
                errors,
                timed,
                samples);
        checkArgument(
                medianMicros >= 0
                        && p75Micros >= medianMicros
                        && p90Micros >= p75Micros
                        && spanMillis >= 0,
                "times of a digest must not be negative or out of order");
        checkArgument(
                totalErrors >= 0 && totalErrors <= totalSamples,
                "%s errors in %s samples in total",
                totalErrors,
                totalSamples);
    }

    /**
     * Share of failed requests.
     *
     * @return 0 to 1; 0 without samples
     */
    public double errorShare() {
        return samples == 0 ? 0 : (double) errors / samples;
    }
}
