package org.azureshed.bench;

import java.net.URI;
import java.time.Duration;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Measures the latency that the entry node and the host node add to a request.
 *
 * <p>Arguments: URL of the target, URL through the fleet, requests per second, seconds. Blocks of
 * direct requests and of requests through the fleet alternate in one run, so that other load on the
 * machine affects both alike. Both paths are warmed up at the same request rate, whatever rate is
 * measured. Prints key=value lines; {@code added_p99_ms} is the 99th percentile through the fleet
 * minus the direct one, not a percentile of the added latency.
 */
public final class AddedLatency {
    private static final Duration BLOCK_DURATION = Duration.ofSeconds(5);
    private static final Duration SETTLE_DURATION = Duration.ofSeconds(5);

    /**
     * Request rate of the warm-up, whatever rate is measured. The JIT compiler optimises a method
     * after 5,000 to 15,000 calls, which the lower measured rate would reach only after minutes.
     */
    private static final int WARM_UP_REQUESTS_PER_SECOND = 500;

    private static final Duration WARM_UP_DURATION = Duration.ofSeconds(60);
    private static final double P50 = 50;
    private static final double P99 = 99;

    private AddedLatency() {}

    /**
     * Runs the measurement.
     *
     * @param args URL of the target, URL through the fleet, requests per second, and duration of
     *     the measurement in seconds, half of it for each path
     * @throws Exception if the client fails
     */
    public static void main(String[] args) throws Exception {
        URI directUrl = URI.create(args[0]);
        URI fleetUrl = URI.create(args[1]);
        int requestsPerSecond = Integer.parseInt(args[2]);
        int blocks = (int) (Integer.parseInt(args[3]) / BLOCK_DURATION.toSeconds() / 2);
        try (OpenLoopLoad load = new OpenLoopLoad()) {
            load.run(directUrl, WARM_UP_REQUESTS_PER_SECOND, WARM_UP_DURATION.dividedBy(3));
            load.run(fleetUrl, WARM_UP_REQUESTS_PER_SECOND, WARM_UP_DURATION);
            load.run(fleetUrl, requestsPerSecond, SETTLE_DURATION);
            OpenLoopLoad.Result directTotal =
                    load.run(directUrl, requestsPerSecond, BLOCK_DURATION);
            OpenLoopLoad.Result fleetTotal = load.run(fleetUrl, requestsPerSecond, BLOCK_DURATION);
            for (int i = 1; i < blocks; i++) {
                directTotal =
                        combine(
                                directTotal,
                                load.run(directUrl, requestsPerSecond, BLOCK_DURATION));
                fleetTotal =
                        combine(fleetTotal, load.run(fleetUrl, requestsPerSecond, BLOCK_DURATION));
            }
            print(requestsPerSecond, directTotal, fleetTotal);
        }
    }

    private static OpenLoopLoad.Result combine(OpenLoopLoad.Result a, OpenLoopLoad.Result b) {
        Histogram sum = a.latencyMicros().copy();
        sum.add(b.latencyMicros());
        return new OpenLoopLoad.Result(sum, a.failures() + b.failures());
    }

    private static void print(
            int requestsPerSecond, OpenLoopLoad.Result direct, OpenLoopLoad.Result fleet) {
        System.out.println("requests_per_second=" + requestsPerSecond);
        System.out.println("requests=" + fleet.latencyMicros().getTotalCount());
        System.out.println("failures=" + (direct.failures() + fleet.failures()));
        print("direct_p50_ms", direct.percentileMillis(P50));
        print("direct_p99_ms", direct.percentileMillis(P99));
        print("fleet_p50_ms", fleet.percentileMillis(P50));
        print("fleet_p99_ms", fleet.percentileMillis(P99));
        print("added_p50_ms", fleet.percentileMillis(P50) - direct.percentileMillis(P50));
        print("added_p99_ms", fleet.percentileMillis(P99) - direct.percentileMillis(P99));
    }

    private static void print(String key, double millis) {
        System.out.printf(Locale.ROOT, "%s=%.3f%n", key, millis);
    }
}
