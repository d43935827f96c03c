package org.azureshed.bench;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.azureshed.model.RequestClass;
import org.azureshed.model.ServicePolicy;

/**
 * Measures how many requests are answered in time at peaks of demand, in virtual time with a fixed
 * seed.
 *
 * <p>Some targets start cold in the first peak and one has a gray failure. Each line compares one
 * figure of all policies for the same requests. The baselines are round robin and least outstanding
 * requests, both without admission.
 */
public final class CrestBench {
    /** One-way network time between availability zones. */
    private static final long CROSS_ZONE_NANOS = TimeUnit.MICROSECONDS.toNanos(1500);

    /** Demand at the peaks, as multiples of the capacity of the healthy targets. */
    private static final double[] PEAK_DEMANDS = {1, 1.5, 2.5};

    private static final long DEFAULT_SEED = 1;

    private CrestBench() {}

    /**
     * Prints key=value lines.
     *
     * @param args optionally the seed
     */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : DEFAULT_SEED;
        for (LoadScenario scenario : List.of(archive(seed), wellRecords(seed))) {
            for (double peakDemand : PEAK_DEMANDS) {
                print(scenario.withPeakDemand(peakDemand));
            }
        }
    }

    /** The archive: 90% of the capacity is needed for page views, 10% for kudos clicks. */
    static LoadScenario archive(long seed) {
        return new LoadScenario(
                "archive",
                seed,
                /* targetCount= */ 11,
                /* warmTargetCount= */ 8,
                /* slotsPerTarget= */ 4,
                /* entryNodeCount= */ 6,
                /* grayTargetIndex= */ 2,
                /* graySlowdown= */ 10,
                CROSS_ZONE_NANOS,
                new ServicePolicy("reading", 60, 50, 10),
                List.of(
                        new LoadScenario.RequestStream(
                                new RequestClass("page", false, true, 1000, 500, 0),
                                /* capacityShare= */ 0.9,
                                /* meanMillis= */ 20,
                                /* constantRate= */ false),
                        new LoadScenario.RequestStream(
                                new RequestClass("kudos", false, false, 1000, 500, 1),
                                /* capacityShare= */ 0.1,
                                /* meanMillis= */ 10,
                                /* constantRate= */ false)),
                /* peakDemand= */ 1,
                /* measuredFromSeconds= */ 0);
    }

    /** Well records: 80% of the capacity is needed for well logs, 20% for filed certificates. */
    static LoadScenario wellRecords(long seed) {
        return new LoadScenario(
                "well-records",
                seed,
                /* targetCount= */ 8,
                /* warmTargetCount= */ 6,
                /* slotsPerTarget= */ 5,
                /* entryNodeCount= */ 6,
                /* grayTargetIndex= */ 2,
                /* graySlowdown= */ 10,
                CROSS_ZONE_NANOS,
                new ServicePolicy("well-logs", 60, 40, 10),
                List.of(
                        new LoadScenario.RequestStream(
                                new RequestClass("log", false, true, 5000, 4000, 0),
                                /* capacityShare= */ 0.8,
                                /* meanMillis= */ 40,
                                /* constantRate= */ false),
                        new LoadScenario.RequestStream(
                                new RequestClass("certificate", false, false, 5000, 4000, 5),
                                /* capacityShare= */ 0.2,
                                /* meanMillis= */ 40,
                                /* constantRate= */ false)),
                /* peakDemand= */ 1,
                /* measuredFromSeconds= */ 0);
    }

    /** Runs the same requests with each policy; the statistics have the class name as key. */
    static Map<LoadPolicy, Map<String, ClassStatistics>> run(LoadScenario scenario) {
        List<SimulatedRequest> requests = scenario.requests();
        Map<LoadPolicy, Map<String, ClassStatistics>> results = new EnumMap<>(LoadPolicy.class);
        for (LoadPolicy policy : LoadPolicy.values()) {
            results.put(policy, new LoadSimulation(scenario, policy).run(requests));
        }
        return results;
    }

    /** Prints figures of each class; rates are averages over the measured time. */
    private static void print(LoadScenario scenario) {
        Map<LoadPolicy, Map<String, ClassStatistics>> results = run(scenario);
        double measuredSeconds = scenario.measuredSeconds();
        for (LoadScenario.RequestStream stream : scenario.streams()) {
            String className = stream.requestClass().name();
            String prefix =
                    String.format(
                            Locale.ROOT,
                            "bench=crest scenario=%s seed=%d demand=%.1f class=%s",
                            scenario.name(),
                            scenario.seed(),
                            scenario.peakDemand(),
                            className);
            printLine(
                    prefix,
                    "offered-per-s",
                    results,
                    className,
                    s -> s.offeredCount() / measuredSeconds);
            printLine(
                    prefix,
                    "in-time-per-s",
                    results,
                    className,
                    s -> s.inTimeCount() / measuredSeconds);
            printLine(prefix, "p50-ms", results, className, s -> s.latencyMillisAt(50));
            printLine(prefix, "p99-ms", results, className, s -> s.latencyMillisAt(99));
            printLine(
                    prefix,
                    "refused-per-s",
                    results,
                    className,
                    s -> s.refusedCount() / measuredSeconds);
            printLine(
                    prefix, "late-per-s", results, className, s -> s.lateCount() / measuredSeconds);
            printLine(
                    prefix,
                    "retries-per-s",
                    results,
                    className,
                    s -> s.retryCount() / measuredSeconds);
        }
    }

    private static void printLine(
            String prefix,
            String metric,
            Map<LoadPolicy, Map<String, ClassStatistics>> results,
            String requestClass,
            ToDoubleFunction<ClassStatistics> statistic) {
        StringBuilder line = new StringBuilder(prefix).append(" metric=").append(metric);
        results.forEach(
                (policy, byClass) ->
                        line.append(
                                String.format(
                                        Locale.ROOT,
                                        " %s=%.1f",
                                        policy.label(),
                                        statistic.applyAsDouble(byClass.get(requestClass)))));
        System.out.println(line);
    }
}
