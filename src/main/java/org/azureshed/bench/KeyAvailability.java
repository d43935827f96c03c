package org.azureshed.bench;

import java.io.PrintStream;
import java.util.Locale;
import org.azureshed.idempotency.KeyRange;
import org.azureshed.idempotency.KeyTiming;

/**
 * Computes the share of requests with an idempotency key that is refused as not run, from the rules
 * of the key protocol and the failure and stop rates below. Nothing is measured.
 *
 * <p>Let f be the unplanned failures and r the planned stops per node and second, E the renewal
 * interval, W the take-over wait, F the limit for key times in the future, and e the clock-rate
 * error. W is the lease L, stretched by e, plus a margin.
 *
 * <ul>
 *   <li>Take-over after the owner of a range dies: the owner dies on average E/2 after its last
 *       renewal, and a successor sees that renewal on average E/2 late, so the range is taken over
 *       on average W after the death, and W + E after it at the latest.
 *   <li>Fresh keys are refused for another F + e * (age of the clock sample) after the take-over.
 *       The sample is from the renewal before the last one, on average 2 * E + W ago.
 *   <li>Ordinary day: the share is f * (W + F + e * (2 * E + W)). Nodes that are stopped as planned
 *       hand their ranges over, so that no request is refused.
 *   <li>Platform outage of length D: a range refuses requests as soon as its holder or one of its
 *       two successors is lost, which happens at the rate x = 3 * (f + r). The mean share is 1 - (1
 *       - exp(-x * D)) / (x * D). Without planned stops during the outage, x = 3 * f.
 * </ul>
 *
 * <p>Retries with keys from before a take-over are refused too. They are not counted, because their
 * share depends on the callers.
 */
public final class KeyAvailability {
    /** Number of nodes to which the daily failures and planned stops refer. */
    private static final double NODES = 2_400;

    private static final double FAILURES_PER_DAY = 77;
    private static final double PLANNED_STOPS_PER_DAY = 2_600;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double SECONDS_PER_HOUR = 3_600;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The holder of a key range and its two successors. */
    private static final int NODES_PER_RANGE = 3;

    private final KeyTiming timing;

    /**
     * Creates the computation.
     *
     * @param timing durations of the protocol
     */
    public KeyAvailability(KeyTiming timing) {
        this.timing = timing;
    }

    /**
     * Prints the results as key=value lines.
     *
     * @param args not used
     */
    public static void main(String[] args) {
        new KeyAvailability(KeyTiming.STANDARD).print(System.out);
    }

    /**
     * Mean time for which a range refuses fresh keys after its owner has died.
     *
     * @return seconds
     */
    public double meanGapSeconds() {
        return timing.takeoverWaitMillis() / MILLIS_PER_SECOND + freshKeyRefusalSeconds();
    }

    /**
     * Mean share of keyed requests that is refused on a day without a platform outage.
     *
     * @return 0 to 1
     */
    public double ordinaryDayRefusedShare() {
        return ratePerNodeAndSecond(FAILURES_PER_DAY) * meanGapSeconds();
    }

    /**
     * Mean share of keyed requests that is refused during a platform outage.
     *
     * @param hours length of the outage, at most {@link KeyTiming#maxConsentMillis()}
     * @param plannedStops whether nodes are still stopped as planned during the outage
     * @return 0 to 1
     */
    public double outageRefusedShare(double hours, boolean plannedStops) {
        double stopsPerDay = FAILURES_PER_DAY + (plannedStops ? PLANNED_STOPS_PER_DAY : 0);
        double exponent =
                NODES_PER_RANGE * ratePerNodeAndSecond(stopsPerDay) * hours * SECONDS_PER_HOUR;
        return 1 - (1 - Math.exp(-exponent)) / exponent;
    }

    private double freshKeyRefusalSeconds() {
        double sampleAgeMillis = 2 * timing.renewEveryMillis() + timing.takeoverWaitMillis();
        return (timing.futureMillis() + sampleAgeMillis * timing.rateErrorPercent() / 100)
                / MILLIS_PER_SECOND;
    }

    private static double ratePerNodeAndSecond(double eventsPerDay) {
        return eventsPerDay / NODES / SECONDS_PER_DAY;
    }

    private void print(PrintStream out) {
        double maxGapSeconds = meanGapSeconds() + timing.renewEveryMillis() / MILLIS_PER_SECOND;
        printLine(out, "ordinary_day_refused_share", ordinaryDayRefusedShare());
        printLine(out, "owner_death_refused_share_during_gap", 1.0 / KeyRange.COUNT);
        printLine(out, "owner_death_gap_mean_seconds", meanGapSeconds());
        printLine(out, "owner_death_gap_max_seconds", maxGapSeconds);
        for (int hours : new int[] {1, 4}) {
            String key = "outage_" + hours + "h_refused_share";
            printLine(out, key, outageRefusedShare(hours, true));
            printLine(out, key + "_without_planned_stops", outageRefusedShare(hours, false));
        }
    }

    private static void printLine(PrintStream out, String key, double value) {
        out.printf(Locale.ROOT, "%s=%.7f%n", key, value);
    }
}
