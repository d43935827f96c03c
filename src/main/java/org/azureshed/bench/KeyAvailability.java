package org.azureshed.bench;

import java.io.PrintStream;
import java.util.Locale;
import org.azureshed.idempotency.KeyRange;
import org.azureshed.idempotency.KeyTiming;

/**
 * Computes the share of keyed work that is refused as not run, from the rules of the key protocol
 * and the churn of the design page. It measures nothing.
 *
 * <p>With f unplanned failures and r planned stops for each node and second, L the lease, E the
 * renewal interval, W the take-over wait, F the future limit and e the clock-rate error:
 *
 * <ul>
 *   <li>Gap at an owner's death. The owner dies on average E/2 after its last renewal, a successor
 *       sees that renewal on average E/2 late, so the range is taken over W after the death on
 *       average, and W + E later at most.
 *   <li>Fresh keys after a take-over are refused for F + e * (sample age) more, where the sample is
 *       of the renewal before the last one, 2 * E + W old on average.
 *   <li>Ordinary day: f * (W + F + e * (2 * E + W)). Planned stops hand over and refuse nothing.
 *   <li>Outage of length D: a range refuses work from the first loss of its holder or one of its
 *       two successors, at rate x = 3 * (f + r). The mean share is 1 - (1 - exp(-x * D)) / (x * D).
 *       Without planned stops during the outage, x = 3 * f.
 * </ul>
 *
 * <p>Retries of keys from before a take-over are refused as well and are not counted, because their
 * share depends on the callers.
 */
public final class KeyAvailability {
    private static final double NODES = 2_400;
    private static final double FAILURES_PER_DAY = 77;
    private static final double PLANNED_STOPS_PER_DAY = 2_600;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double SECONDS_PER_HOUR = 3_600;
    private static final double MILLIS = 1_000;
    private static final int INSTANCES_OF_A_RANGE = 3;

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
     * Prints all figures as key=value lines.
     *
     * @param arguments not used
     */
    public static void main(String[] arguments) {
        new KeyAvailability(KeyTiming.STANDARD).print(System.out);
    }

    /**
     * Mean time for which a range refuses fresh keys after its owner died.
     *
     * @return seconds
     */
    public double gapSeconds() {
        return timing.takeoverWaitMillis() / MILLIS + freshKeySeconds();
    }

    /**
     * Share of keyed work that an ordinary day refuses.
     *
     * @return 0 to 1
     */
    public double ordinaryShare() {
        return perNodeAndSecond(FAILURES_PER_DAY) * gapSeconds();
    }

    /**
     * Mean share of keyed work that is refused during a platform outage.
     *
     * @param hours length of the outage, at most the limit of consent
     * @param plannedStops whether planned stops go on during the outage
     * @return 0 to 1
     */
    public double outageShare(double hours, boolean plannedStops) {
        double churn = FAILURES_PER_DAY + (plannedStops ? PLANNED_STOPS_PER_DAY : 0);
        double exponent = INSTANCES_OF_A_RANGE * perNodeAndSecond(churn) * hours * SECONDS_PER_HOUR;
        return 1 - (1 - Math.exp(-exponent)) / exponent;
    }

    private double freshKeySeconds() {
        double sampleAge = 2 * timing.renewEveryMillis() + timing.takeoverWaitMillis();
        return (timing.futureMillis() + sampleAge * timing.rateErrorPercent() / 100) / MILLIS;
    }

    private static double perNodeAndSecond(double eventsPerDay) {
        return eventsPerDay / NODES / SECONDS_PER_DAY;
    }

    private void print(PrintStream out) {
        double worst = gapSeconds() + timing.renewEveryMillis() / MILLIS;
        line(out, "ordinary_day_refused_share", ordinaryShare());
        line(out, "owner_death_refused_share_during_gap", 1.0 / KeyRange.COUNT);
        line(out, "owner_death_gap_mean_seconds", gapSeconds());
        line(out, "owner_death_gap_max_seconds", worst);
        for (int hours : new int[] {1, 4}) {
            String prefix = "outage_" + hours + "h_refused_share";
            line(out, prefix, outageShare(hours, true));
            line(out, prefix + "_without_planned_stops", outageShare(hours, false));
        }
    }

    private static void line(PrintStream out, String key, double value) {
        out.printf(Locale.ROOT, "%s=%.7f%n", key, value);
    }
}
