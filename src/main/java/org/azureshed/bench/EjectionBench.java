package org.azureshed.bench;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import org.azureshed.ejection.DetectorTuning;

/**
 * Measures ejection in virtual time: detection time and false ejections of each policy in each
 * scenario over many seeds. Prints one line of key=value pairs for each combination.
 *
 * <pre>{@code
 * java -cp azureshed.jar org.azureshed.bench.EjectionBench [seeds] [threshold halfLifeMillis
 *     medianStandardErrors p75StandardErrors strengthWeight [policy [scenario...]]]
 * }</pre>
 */
public final class EjectionBench {
    private static final int DEFAULT_SEEDS = 100;
    private static final double SECOND_MICROS = 1e6;
    private static final double HOUR_SECONDS = 3_600;

    private EjectionBench() {}

    /**
     * Runs the measurements and the race search.
     *
     * @param arguments number of seeds, then the five values of {@link DetectorTuning}, a policy
     *     and scenarios
     */
    public static void main(String[] arguments) {
        int seeds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : DEFAULT_SEEDS;
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
        System.out.println("seeds=" + seeds + " tuning=\"" + tuning + "\"");
        for (boolean withDrain : new boolean[] {false, true}) {
            for (boolean conditional : new boolean[] {true, false}) {
                ProposerRace.Result race = new ProposerRace(conditional, withDrain).search();
                System.out.println(
                        String.format(
                                Locale.ROOT,
                                "race_drain=%s conditional_write=%s orders=%d floor_broken=%d"
                                        + " ejections_lost=%d",
                                withDrain,
                                conditional,
                                race.orders(),
                                race.floorBroken(),
                                race.ejectionsLost()));
            }
        }
        for (Workload workload : Workload.all()) {
            for (EjectionScenario scenario : scenarios) {
                for (EjectionPolicy policy : policies) {
                    System.out.println(measure(workload, scenario, policy, seeds, tuning));
                }
            }
        }
    }

    static String measure(
            Workload workload,
            EjectionScenario scenario,
            EjectionPolicy policy,
            int seeds,
            DetectorTuning tuning) {
        List<FleetSimulation.Result> results =
                LongStream.range(0, seeds)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        new FleetSimulation(
                                                        workload, scenario, policy, seed, tuning)
                                                .run())
                        .toList();
        long[] detected =
                results.stream()
                        .mapToLong(result -> result.detectedMicros)
                        .filter(micros -> micros >= 0)
                        .sorted()
                        .toArray();
        Histogram latency = new Histogram(60_000_000, 2);
        results.forEach(result -> latency.add(result.shortLatency));
        double requests = results.stream().mapToLong(result -> result.requests).sum();
        double hours = seeds * scenario.seconds() / HOUR_SECONDS;
        int wrong = results.stream().mapToInt(result -> result.falseEjections).sum();
        return String.format(
                Locale.ROOT,
                "workload=%s scenario=%s policy=%s detected=%s detect_p50_s=%s detect_p99_s=%s"
                        + " false_ejections=%d service_hours=%.1f false_per_service_hour=%.3f"
                        + " short_p50_ms=%.0f short_p99_ms=%.0f failed_percent=%.2f"
                        + " faulty_share_percent=%.1f floor_violations=%d",
                workload.label(),
                scenario.label(),
                policy.label(),
                scenario.faulty() ? detected.length + "/" + seeds : "-",
                quantile(detected, 0.5, seeds),
                quantile(detected, 0.99, seeds),
                wrong,
                hours,
                wrong / hours,
                latency.getValueAtPercentile(50) / 1e3,
                latency.getValueAtPercentile(99) / 1e3,
                100 * results.stream().mapToLong(result -> result.failed).sum() / requests,
                100 * results.stream().mapToLong(result -> result.toFaulty).sum() / requests,
                results.stream().mapToInt(result -> result.floorViolations).sum());
    }

    /** Quantile over all seeds, where an undetected fault counts as infinite. */
    private static String quantile(long[] sorted, double quantile, int seeds) {
        int index = (int) Math.ceil(quantile * seeds) - 1;
        return index < sorted.length
                ? String.format(Locale.ROOT, "%.1f", sorted[index] / SECOND_MICROS)
                : "-";
    }
}
