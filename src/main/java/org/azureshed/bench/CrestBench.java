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
 * Service level at the peak of demand swings, in virtual time with a fixed seed.
 *
 * <p>Some targets start cold in the first peak and one is gray. Each printed figure has beside it
 * round robin and least outstanding requests without admission, on the same requests.
 */
public final class CrestBench {
    private static final long OTHER_ZONE_NANOS = TimeUnit.MICROSECONDS.toNanos(1500);
    private static final double[] DEMANDS = {1, 1.5, 2.5};
    private static final long DEFAULT_SEED = 1;

    private CrestBench() {}

    /**
     * Prints key=value lines.
     *
     * @param args optionally the seed
     */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : DEFAULT_SEED;
        for (Scenario scenario : List.of(archive(seed), wellRecords(seed))) {
            for (double demand : DEMANDS) {
                print(scenario.withDemand(demand));
            }
        }
    }

    /** Reading pages of the archive, with kudos clicks beside. */
    static Scenario archive(long seed) {
        return new Scenario(
                "archive",
                seed,
                11,
                8,
                4,
                6,
                2,
                10,
                OTHER_ZONE_NANOS,
                new ServicePolicy("reading", 60, 50, 10),
                List.of(
                        new Scenario.Stream(
                                new RequestClass("page", false, true, 1000, 500, 0),
                                0.9,
                                20,
                                false),
                        new Scenario.Stream(
                                new RequestClass("kudos", false, false, 1000, 500, 1),
                                0.1,
                                10,
                                false)),
                1,
                0);
    }

    /** Field crews fetching well logs at the start of a shift, with filings beside. */
    static Scenario wellRecords(long seed) {
        return new Scenario(
                "well-records",
                seed,
                8,
                6,
                5,
                6,
                2,
                10,
                OTHER_ZONE_NANOS,
                new ServicePolicy("well-logs", 60, 40, 10),
                List.of(
                        new Scenario.Stream(
                                new RequestClass("log", false, true, 5000, 4000, 0),
                                0.8,
                                40,
                                false),
                        new Scenario.Stream(
                                new RequestClass("certificate", false, false, 5000, 4000, 5),
                                0.2,
                                40,
                                false)),
                1,
                0);
    }

    static Map<SimulationPolicy, Map<String, Measures>> run(Scenario scenario) {
        List<SimulatedRequest> requests = scenario.requests();
        Map<SimulationPolicy, Map<String, Measures>> results =
                new EnumMap<>(SimulationPolicy.class);
        for (SimulationPolicy policy : SimulationPolicy.values()) {
            results.put(policy, new Simulation(scenario, policy).run(requests));
        }
        return results;
    }

    private static void print(Scenario scenario) {
        Map<SimulationPolicy, Map<String, Measures>> results = run(scenario);
        double seconds = scenario.measuredSeconds();
        for (Scenario.Stream stream : scenario.streams()) {
            String name = stream.requestClass().name();
            String prefix =
                    String.format(
                            Locale.ROOT,
                            "bench=crest scenario=%s seed=%d demand=%.1f class=%s",
                            scenario.name(),
                            scenario.seed(),
                            scenario.demand(),
                            name);
            line(prefix, "offered-per-s", results, name, m -> m.offeredCount() / seconds);
            line(prefix, "in-time-per-s", results, name, m -> m.inTimeCount() / seconds);
            line(prefix, "p50-ms", results, name, m -> m.millisAt(50));
            line(prefix, "p99-ms", results, name, m -> m.millisAt(99));
            line(prefix, "refused-per-s", results, name, m -> m.refusedCount() / seconds);
            line(prefix, "late-per-s", results, name, m -> m.lateCount() / seconds);
            line(prefix, "retries-per-s", results, name, m -> m.retryCount() / seconds);
        }
    }

    private static void line(
            String prefix,
            String metric,
            Map<SimulationPolicy, Map<String, Measures>> results,
            String requestClass,
            ToDoubleFunction<Measures> figure) {
        StringBuilder line = new StringBuilder(prefix).append(" metric=").append(metric);
        results.forEach(
                (policy, measures) ->
                        line.append(
                                String.format(
                                        Locale.ROOT,
                                        " %s=%.1f",
                                        policy.label(),
                                        figure.applyAsDouble(measures.get(requestClass)))));
        System.out.println(line);
    }
}
