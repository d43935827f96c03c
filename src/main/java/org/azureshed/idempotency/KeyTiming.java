package org.azureshed.idempotency;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Durations and limits of the idempotency protocol. All nodes of a fleet must use the same values.
 *
 * @param leaseMillis length of a lease on the holder's monotonic clock
 * @param renewEveryMillis time between renewals, and between reads by successors
 * @param marginMillis added to each wait for a time on another node's clock
 * @param rateErrorPercent by how much two monotonic clocks may differ in rate
 * @param maxConsentMillis longest time after the last renewal for which consent lets a holder grant
 * @param retentionMillis how long a key can be used, counted from the time in the key
 * @param dropMarginMillis how much longer than {@code retentionMillis} records are kept
 * @param futureMillis how far a key's time may lie in the future
 * @param minPermitMillis shortest permit that is granted
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
    private static final long NOTICES_PER_RENEWAL = 5;

    /**
     * The values used in production. 200,000 records hold 10 minutes of 330 keyed requests a second
     * in one range, which is 42,000 a second in the fleet.
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
        checkArgument(renewEveryMillis > 0, "renewal interval must be positive");
        checkArgument(
                leaseMillis > renewEveryMillis, "lease must be longer than the renewal interval");
        checkArgument(
                maxConsentMillis >= leaseMillis,
                "consent limit must not be shorter than the lease");
        checkArgument(rateErrorPercent >= 0, "clock-rate error must not be negative");
    }

    /**
     * Time on this clock after which another clock has certainly counted a duration, even if it is
     * slower by the clock-rate error.
     *
     * @param millis duration on the other clock
     * @return milliseconds on this clock, at least the duration
     */
    public long stretch(long millis) {
        return Math.ceilDiv(millis * (PERCENT + rateErrorPercent), PERCENT);
    }

    /**
     * Time on another clock that certainly ends within a duration on this clock, even if the other
     * clock is slower by the clock-rate error.
     *
     * @param millis duration on this clock
     * @return milliseconds on the other clock, at most the duration
     */
    public long shrink(long millis) {
        return Math.floorDiv(millis * PERCENT, PERCENT + rateErrorPercent);
    }

    /**
     * Time between two notices to a successor that has not acknowledged that the lease names it.
     *
     * @return milliseconds on the holder's monotonic clock
     */
    public long noticeEveryMillis() {
        return renewEveryMillis / NOTICES_PER_RENEWAL;
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
