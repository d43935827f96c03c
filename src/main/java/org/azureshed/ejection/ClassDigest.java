package org.azureshed.ejection;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a host measured at one target for requests of one class.
 *
 * @param requestClass name of the class
 * @param samples requests that ended within the window; shed and refused ones are not counted
 * @param errors how many of them failed
 * @param medianMicros median service time of those that did not fail, in microseconds
 * @param p90Micros 90th percentile of the same, in microseconds
 * @param spanMillis length of the window in milliseconds; longer if requests are rare
 */
public record ClassDigest(
        String requestClass,
        int samples,
        int errors,
        long medianMicros,
        long p90Micros,
        long spanMillis) {
    /** Checks the fields. */
    public ClassDigest {
        checkArgument(!requestClass.isEmpty(), "class name of a digest is empty");
        checkArgument(errors >= 0 && errors <= samples, "%s errors in %s samples", errors, samples);
        checkArgument(
                medianMicros >= 0 && p90Micros >= medianMicros && spanMillis >= 0,
                "times of a digest must not be negative or out of order");
    }

    /**
     * Requests whose service time was measured.
     *
     * @return samples without errors
     */
    public int timed() {
        return samples - errors;
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
