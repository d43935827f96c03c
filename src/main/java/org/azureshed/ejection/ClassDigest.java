package org.azureshed.ejection;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a host measured at one target for requests of one class.
 *
 * @param requestClass name of the class
 * @param samples requests that ended within the window; shed and refused ones are not counted
 * @param errors how many of them failed
 * @param timed how many gave a service time: those that did not fail, and failed ones that took
 *     longer than the median, such as time-outs
 * @param medianMicros median service time, in microseconds
 * @param p75Micros 75th percentile of the same, in microseconds
 * @param p90Micros 90th percentile of the same, in microseconds
 * @param spanMillis length of the window in milliseconds; longer if requests are rare
 * @param totalSamples requests that ended since the host's process started, so that a reader can
 *     count those between two digests; 0 if the host does not tell
 * @param totalErrors how many of them failed
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
    /** A digest without totals, as nodes of earlier versions send it. */
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

    /** Checks the fields. */
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
     * @return 0 to 1
     */
    public double errorShare() {
        return samples == 0 ? 0 : (double) errors / samples;
    }
}
