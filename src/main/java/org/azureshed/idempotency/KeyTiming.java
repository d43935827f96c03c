package org.azureshed.idempotency;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Durations and limits of the protocol. All nodes of a fleet use the same ones.
 *
 * @param leaseMillis length of a lease on the holder's monotonic clock
 * @param renewEveryMillis time between renewals, and between reads by successors
 * @param marginMillis added to each wait on another node's clock
 * @param rateErrorPercent by how much two monotonic clocks may differ in rate
 * @param maxConsentMillis longest time after the last renewal that consent can bridge
 * @param retentionMillis how long a key can be used, by its own time
 * @param dropMarginMillis how much longer records are kept
 * @param futureMillis how far a key's time may lie in the future
 * @param minPermitMillis shortest permit that is worth granting
 * @param maxRecords most records in one range
 * @param maxAnswerBytes most bytes of stored answers in one range
 */
public record KeyTiming(
        long leaseMillis,
        long renewEveryMillis,
        long marginMillis,
        int rateErrorPercent,
        long maxConsentMillis,
        long retentionMillis,
        long dropMarginMillis,
        long futureMillis,
        long minPermitMillis,
        int maxRecords,
        long maxAnswerBytes) {
    private static final long PERCENT = 100;
    private static final long NOTICES_IN_RENEWAL = 5;

    /**
     * Values of the design page. 200,000 records hold 10 minutes of 330 keyed requests a second in
     * one range, which is 42,000 a second in the fleet.
     */
    public static final KeyTiming STANDARD =
            new KeyTiming(
                    15_000,
                    5_000,
                    1_000,
                    10,
                    4 * 3_600_000L,
                    600_000,
                    5_000,
                    2_000,
                    200,
                    200_000,
                    32L << 20);

    /** Checks the values. */
    public KeyTiming {
        checkArgument(renewEveryMillis > 0, "renewal interval must be above 0");
        checkArgument(leaseMillis > renewEveryMillis, "lease must be longer than its renewal");
        checkArgument(maxConsentMillis >= leaseMillis, "consent limit must not be below lease");
        checkArgument(rateErrorPercent >= 0, "clock-rate error must not be negative");
    }

    /**
     * Time on this clock within which another clock is sure to have counted a duration.
     *
     * @param millis duration on the other clock
     * @return at least the duration
     */
    public long stretch(long millis) {
        return Math.ceilDiv(millis * (PERCENT + rateErrorPercent), PERCENT);
    }

    /**
     * Time on another clock that is sure to end within a duration on this clock.
     *
     * @param millis duration on this clock
     * @return at most the duration
     */
    public long shrink(long millis) {
        return Math.floorDiv(millis * PERCENT, PERCENT + rateErrorPercent);
    }

    /**
     * Time between two notices to a successor that has not acknowledged that it is named.
     *
     * @return milliseconds on the holder's monotonic clock
     */
    public long noticeEveryMillis() {
        return renewEveryMillis / NOTICES_IN_RENEWAL;
    }

    /**
     * How long a successor must have seen the object unchanged before it takes over, and how long
     * it keeps a consent.
     *
     * @return milliseconds on the successor's monotonic clock
     */
    public long takeoverWaitMillis() {
        return stretch(leaseMillis) + marginMillis;
    }

    /**
     * How long any other node must have seen the object unchanged before it replaces holder and
     * successors.
     *
     * @return milliseconds on that node's monotonic clock
     */
    public long replacementWaitMillis() {
        return stretch(maxConsentMillis) + marginMillis;
    }
}
