package org.azureshed.bench;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import org.azureshed.ejection.DetectorTuning;

/**
 * Measures ejection in virtual time: detection time and false ejections of each policy in each
 * scenario over many seeds. Prints one line of key=value pairs for each combination. Arguments name
 * policies and scenarios by the constants of {@link EjectionPolicy} and {@link EjectionScenario}.
 *
 * <p>{@code detected} is the number of seeds whose fault was detected, {@code detect_*_s} the time
 * from the start of the fault to the ejection, {@code service_hours} the simulated time of all
 * seeds, {@code failed_percent} and {@code faulty_share_percent} the percentage of requests that
 * failed or were sent to target 0. A {@code -} stands for a scenario without fault or a quantile
 * that was not reached.
 *
 * <pre>{@code
 * java -cp azureshed.jar org.azureshed.bench.EjectionBench [seeds] [threshold halfLifeMillis
 *     medianStandardErrors p75StandardErrors strengthWeight [policy [scenario...]]]
 * }</pre>
 */
public final class EjectionBench {
    private static final int DEFAULT_SEEDS = 100;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double SECONDS_PER_HOUR = 3_600;

    private EjectionBench() {}

    /**
     * Runs the search of {@link ProposerRace} and the measurements.
     *
     * @param arguments number of seeds, then the five values of {@link DetectorTuning}, a policy
     *     and scenarios
     */
    public static void main(String[] arguments) {
        int seedCount = arguments.length > 0 ? Integer.parseInt(arguments[0]) : DEFAULT_SEEDS;
        DetectorTuning tuning =
                arguments.length > 5
                        ? new DetectorTuning(
                                Double.parseDouble(arguments[1]),
                                Long.parseLong(arguments[2]),
                                Double.parseDouble(arguments[3]),
                                Double.parseDouble(arguments[4]),
                                Double.parseDouble(arguments[5]))
                        : DetectorTuning.DEFAULT;
        EjectionPolicy[] policies =
                arguments.length > 6
                        ? new EjectionPolicy[] {EjectionPolicy.valueOf(arguments[6])}
                        : EjectionPolicy.values();
        EjectionScenario[] scenarios =
                arguments.length > 7
                        ? Arrays.stream(arguments)
                                .skip(7)
                                .map(EjectionScenario::valueOf)
                                .toArray(EjectionScenario[]::new)
                        : EjectionScenario.values();
        System.out.println("seeds=" + seedCount + " tuning=\"" + tuning + "\"");
        for (boolean withDrain : new boolean[] {false, true}) {
            for (boolean conditionalWrites : new boolean[] {true, false}) {
                ProposerRace.Result search =
                        new ProposerRace(conditionalWrites, withDrain).search();
                System.out.println(
                        String.format(
                                Locale.ROOT,
                                "race_drain=%s conditional_write=%s orders=%d floor_broken=%d"
                                        + " ejections_lost=%d",
                                withDrain,
                                conditionalWrites,
                                search.interleavings(),
                                search.floorViolations(),
                                search.lostEjections()));
            }
        }
        for (Workload workload : Workload.all()) {
            for (EjectionScenario scenario : scenarios) {
                for (EjectionPolicy policy : policies) {
                    System.out.println(measure(workload, scenario, policy, seedCount, tuning));
                }
            }
        }
    }

    /** Simulates one combination with the seeds 0 to {@code seedCount - 1}; one printed line. */
    static String measure(
            Workload workload,
            EjectionScenario scenario,
            EjectionPolicy policy,
            int seedCount,
            DetectorTuning tuning) {
        List<EjectionSimulation.Result> results =
                LongStream.range(0, seedCount)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        new EjectionSimulation(
                                                        workload, scenario, policy, seed, tuning)
                                                .run())
                        .toList();
        long[] sortedDetectionMicros =
                results.stream()
                        .mapToLong(result -> result.detectionMicros)
                        .filter(micros -> micros >= 0)
                        .sorted()
                        .toArray();
        Histogram shortLatencyMicros = new Histogram(60_000_000, 2);
        results.forEach(result -> shortLatencyMicros.add(result.shortLatencyMicros));
        double requests = results.stream().mapToLong(result -> result.requests).sum();
        double serviceHours = seedCount * scenario.durationSeconds() / SECONDS_PER_HOUR;
        int falseEjections = results.stream().mapToInt(result -> result.falseEjections).sum();
        return String.format(
                Locale.ROOT,
                "workload=%s scenario=%s policy=%s detected=%s detect_p50_s=%s detect_p99_s=%s"
                        + " false_ejections=%d service_hours=%.1f false_per_service_hour=%.3f"
                        + " short_p50_ms=%.0f short_p99_ms=%.0f failed_percent=%.2f"
                        + " faulty_share_percent=%.1f floor_violations=%d",
                workload.label(),
                scenario.label(),
                policy.label(),
                scenario.faulty() ? sortedDetectionMicros.length + "/" + seedCount : "-",
                quantile(sortedDetectionMicros, 0.5, seedCount),
                quantile(sortedDetectionMicros, 0.99, seedCount),
                falseEjections,
                serviceHours,
                falseEjections / serviceHours,
                shortLatencyMicros.getValueAtPercentile(50) / 1e3,
                shortLatencyMicros.getValueAtPercentile(99) / 1e3,
                100 * results.stream().mapToLong(result -> result.failedRequests).sum() / requests,
                100 * results.stream().mapToLong(result -> result.toFirstTarget).sum() / requests,
                results.stream().mapToInt(result -> result.floorViolations).sum());
    }

    /** Quantile in seconds over all seeds, where an undetected fault counts as infinite. */
    private static String quantile(long[] sortedMicros, double quantile, int seedCount) {
        int index = (int) Math.ceil(quantile * seedCount) - 1;
        return index < sortedMicros.length
                ? String.format(Locale.ROOT, "%.1f", sortedMicros[index] / MICROS_PER_SECOND)
                : "-";
    }
}
