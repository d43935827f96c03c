package org.azureshed.bench;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.RequestClass;
import org.azureshed.model.ServicePolicy;

/**
 * How long work delays short work on the same targets, in virtual time with a fixed seed.
 *
 * <p>Certificates keep 30% of the slots busy; surveys ask for 75% of them, for seconds each. The
 * baseline takes the target with the least outstanding requests and has no lanes. Figures measured
 * from 9 s on leave out the time in which hosts learn that surveys declared as short run long.
 */
public final class LanesBench {
    private static final long OTHER_ZONE_NANOS = TimeUnit.MICROSECONDS.toNanos(1500);
    private static final double AFTER_FIRST_PEAK_SECONDS = 9;
    private static final long DEFAULT_SEED = 1;
    private static final RequestClass CERTIFICATE =
            new RequestClass("certificate", false, false, 5000, 1000, 5);
    private static final RequestClass SURVEY =
            new RequestClass("survey", true, true, 30_000, 2000, 0);
    private static final RequestClass SURVEY_AS_SHORT =
            new RequestClass("survey", false, true, 30_000, 2000, 0);

    private LanesBench() {}

    /**
     * Prints key=value lines.
     *
     * @param args optionally the seed
     */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : DEFAULT_SEED;
        for (int percent : new int[] {20, 40, 60}) {
            for (double from : new double[] {0, AFTER_FIRST_PEAK_SECONDS}) {
                measure(seed, percent, from);
            }
        }
    }

    private static void measure(long seed, int percent, double from) {
        Scenario.Stream certificates = new Scenario.Stream(CERTIFICATE, 0.3, 40, true);
        Scenario alone = scenario(seed, percent, List.of(certificates), from);
        Map<SimulationPolicy, Map<String, Measures>> without = CrestBench.run(alone);
        for (RequestClass survey : List.of(SURVEY, SURVEY_AS_SHORT)) {
            Scenario.Stream surveys = new Scenario.Stream(survey, 0.75, 5000, true);
            Scenario mixed = scenario(seed, percent, List.of(certificates, surveys), from);
            print(mixed, survey.longRunning(), without, CrestBench.run(mixed));
        }
    }

    static Scenario scenario(
            long seed, int lanePercent, List<Scenario.Stream> streams, double measuredFromSeconds) {
        return new Scenario(
                "lanes",
                seed,
                8,
                8,
                5,
                6,
                -1,
                1,
                OTHER_ZONE_NANOS,
                new ServicePolicy("records", 60, lanePercent, 10),
                streams,
                1,
                measuredFromSeconds);
    }

    private static void print(
            Scenario scenario,
            boolean declaredLong,
            Map<SimulationPolicy, Map<String, Measures>> without,
            Map<SimulationPolicy, Map<String, Measures>> with) {
        String prefix =
                String.format(
                        Locale.ROOT,
                        "bench=lanes seed=%d lane-percent=%d measured-from-s=%.0f surveys-declared=%s",
                        scenario.seed(),
                        scenario.policy().longLanePercent(),
                        scenario.measuredFromSeconds(),
                        declaredLong ? "long" : "short");
        for (SimulationPolicy policy :
                List.of(SimulationPolicy.AZURESHED, SimulationPolicy.LEAST_OUTSTANDING)) {
            Measures alone = without.get(policy).get(CERTIFICATE.name());
            Measures mixed = with.get(policy).get(CERTIFICATE.name());
            Measures surveys = with.get(policy).get(SURVEY.name());
            System.out.printf(
                    Locale.ROOT,
                    "%s policy=%s short-p99-alone-ms=%.1f short-p99-ms=%.1f ratio=%.2f"
                            + " short-in-time=%d/%d surveys-done=%d surveys-refused=%d%n",
                    prefix,
                    policy.label(),
                    alone.millisAt(99),
                    mixed.millisAt(99),
                    mixed.millisAt(99) / alone.millisAt(99),
                    mixed.inTimeCount(),
                    mixed.offeredCount(),
                    surveys.inTimeCount(),
                    surveys.refusedCount());
        }
    }
}
