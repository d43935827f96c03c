package org.azureshed.bench;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.RequestClass;
import org.azureshed.model.ServicePolicy;

/**
 * Measures how much long-running requests delay short ones on the same targets, in virtual time
 * with a fixed seed.
 *
 * <p>Certificates are short and need 30% of the slots; surveys take 5 s on average and need 75%, so
 * the targets are overloaded. A lane is the share of a target's slots that long-running requests
 * may use. The baseline chooses the target with the fewest outstanding requests and has no lanes.
 * Figures measured from 9 s on exclude the first peak, in which hosts learn that surveys declared
 * as short are long-running.
 */
public final class LanesBench {
    /** One-way network time between availability zones. */
    private static final long CROSS_ZONE_NANOS = TimeUnit.MICROSECONDS.toNanos(1500);

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
        for (int lanePercent : new int[] {20, 40, 60}) {
            for (double measuredFromSeconds : new double[] {0, AFTER_FIRST_PEAK_SECONDS}) {
                measure(seed, lanePercent, measuredFromSeconds);
            }
        }
    }

    private static void measure(long seed, int lanePercent, double measuredFromSeconds) {
        LoadScenario.RequestStream certificates =
                new LoadScenario.RequestStream(
                        CERTIFICATE,
                        /* capacityShare= */ 0.3,
                        /* meanMillis= */ 40,
                        /* constantRate= */ true);
        LoadScenario shortOnly =
                scenario(seed, lanePercent, List.of(certificates), measuredFromSeconds);
        Map<LoadPolicy, Map<String, ClassStatistics>> shortOnlyResults = CrestBench.run(shortOnly);
        for (RequestClass survey : List.of(SURVEY, SURVEY_AS_SHORT)) {
            LoadScenario.RequestStream surveys =
                    new LoadScenario.RequestStream(
                            survey,
                            /* capacityShare= */ 0.75,
                            /* meanMillis= */ 5000,
                            /* constantRate= */ true);
            LoadScenario mixed =
                    scenario(
                            seed, lanePercent, List.of(certificates, surveys), measuredFromSeconds);
            print(mixed, survey.longRunning(), shortOnlyResults, CrestBench.run(mixed));
        }
    }

    /**
     * A scenario at a demand of 1, without gray or cold targets.
     *
     * @param lanePercent percentage of each target's slots that long-running requests may use
     */
    static LoadScenario scenario(
            long seed,
            int lanePercent,
            List<LoadScenario.RequestStream> streams,
            double measuredFromSeconds) {
        return new LoadScenario(
                "lanes",
                seed,
                /* targetCount= */ 8,
                /* warmTargetCount= */ 8,
                /* slotsPerTarget= */ 5,
                /* entryNodeCount= */ 6,
                /* grayTargetIndex= */ -1,
                /* graySlowdown= */ 1,
                CROSS_ZONE_NANOS,
                new ServicePolicy("records", 60, lanePercent, 10),
                streams,
                /* peakDemand= */ 1,
                measuredFromSeconds);
    }

    private static void print(
            LoadScenario scenario,
            boolean declaredLong,
            Map<LoadPolicy, Map<String, ClassStatistics>> shortOnlyResults,
            Map<LoadPolicy, Map<String, ClassStatistics>> mixedResults) {
        String prefix =
                String.format(
                        Locale.ROOT,
                        "bench=lanes seed=%d lane-percent=%d measured-from-s=%.0f surveys-declared=%s",
                        scenario.seed(),
                        scenario.policy().longLanePercent(),
                        scenario.measuredFromSeconds(),
                        declaredLong ? "long" : "short");
        for (LoadPolicy policy : List.of(LoadPolicy.AZURESHED, LoadPolicy.LEAST_OUTSTANDING)) {
            ClassStatistics certificatesAlone =
                    shortOnlyResults.get(policy).get(CERTIFICATE.name());
            ClassStatistics certificates = mixedResults.get(policy).get(CERTIFICATE.name());
            ClassStatistics surveys = mixedResults.get(policy).get(SURVEY.name());
            System.out.printf(
                    Locale.ROOT,
                    "%s policy=%s short-p99-alone-ms=%.1f short-p99-ms=%.1f ratio=%.2f"
                            + " short-in-time=%d/%d surveys-done=%d surveys-refused=%d%n",
                    prefix,
                    policy.label(),
                    certificatesAlone.latencyMillisAt(99),
                    certificates.latencyMillisAt(99),
                    certificates.latencyMillisAt(99) / certificatesAlone.latencyMillisAt(99),
                    certificates.inTimeCount(),
                    certificates.offeredCount(),
                    surveys.inTimeCount(),
                    surveys.refusedCount());
        }
    }
}
