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
 */
public record ClassDigest(
        String requestClass,
        int samples,
        int errors,
        int timed,
        long medianMicros,
        long p75Micros,
        long p90Micros,
        long spanMillis) {
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
