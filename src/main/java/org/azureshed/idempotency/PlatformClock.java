package org.azureshed.idempotency;

/**
 * One sample of the platform's clock, from which platform time is extrapolated.
 *
 * @param serverMillis platform time in an answer, in milliseconds since the epoch
 * @param sentMillis this node's monotonic clock before the call
 * @param receivedMillis this node's monotonic clock after the call
 */
public record PlatformClock(long serverMillis, long sentMillis, long receivedMillis) {
    /**
     * Extrapolates platform time. The answer was written before it was received, so the estimate is
     * ahead of the platform only by the clock-rate error since the sample.
     *
     * @param nowMillis this node's monotonic clock
     * @return milliseconds since the epoch
     */
    public long estimate(long nowMillis) {
        return serverMillis + Math.max(0, nowMillis - receivedMillis);
    }

    /**
     * Upper bound of platform time.
     *
     * @param nowMillis this node's monotonic clock
     * @param timing bound of the clock-rate error
     * @return milliseconds since the epoch
     */
    public long upperBound(long nowMillis, KeyTiming timing) {
        return serverMillis + timing.stretch(Math.max(0, nowMillis - sentMillis));
    }

    long roundTripMillis() {
        return receivedMillis - sentMillis;
    }
}
