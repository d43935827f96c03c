package org.azureshed.bench;

import java.net.URI;
import java.time.Duration;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Measures the time that entry and host node add to a request.
 *
 * <p>Arguments: URL of the target, URL through the fleet, requests per second, seconds. Blocks of
 * direct and forwarded requests alternate in one run, so that both see the same machine. Both paths
 * are warmed up by the same load before each rate and stay as they are afterwards. Prints key=value
 * lines; {@code added_p99_ms} is the difference of the two 99th percentiles.
 */
public final class AddedLatency {
    private static final Duration BLOCK = Duration.ofSeconds(5);
    private static final Duration SETTLE = Duration.ofSeconds(5);

    /**
     * Requests of the warm-up and their rate, whatever rate is measured. The optimising compiler
     * takes up a method after 5,000 to 15,000 calls, which the lower rate reaches after minutes.
     */
    private static final int WARM_UP_PER_SECOND = 500;

    private static final Duration WARM_UP = Duration.ofSeconds(60);
    private static final double MEDIAN = 50;
    private static final double P99 = 99;

    private AddedLatency() {}

    /**
     * Runs the measurement.
     *
     * @param args URL of the target, URL through the fleet, requests per second, seconds
     * @throws Exception if the client fails
     */
    public static void main(String[] args) throws Exception {
        URI direct = URI.create(args[0]);
        URI fleet = URI.create(args[1]);
        int rate = Integer.parseInt(args[2]);
        int blocks = (int) (Integer.parseInt(args[3]) / BLOCK.toSeconds() / 2);
        try (OpenLoopLoad load = new OpenLoopLoad()) {
            load.run(direct, WARM_UP_PER_SECOND, WARM_UP.dividedBy(3));
            load.run(fleet, WARM_UP_PER_SECOND, WARM_UP);
            load.run(fleet, rate, SETTLE);
            OpenLoopLoad.Result directTotal = load.run(direct, rate, BLOCK);
            OpenLoopLoad.Result fleetTotal = load.run(fleet, rate, BLOCK);
            for (int i = 1; i < blocks; i++) {
                directTotal = add(directTotal, load.run(direct, rate, BLOCK));
                fleetTotal = add(fleetTotal, load.run(fleet, rate, BLOCK));
            }
            print(rate, directTotal, fleetTotal);
        }
    }

    private static OpenLoopLoad.Result add(OpenLoopLoad.Result a, OpenLoopLoad.Result b) {
        Histogram sum = a.latencyMicros().copy();
        sum.add(b.latencyMicros());
        return new OpenLoopLoad.Result(sum, a.failures() + b.failures());
    }

    private static void print(int rate, OpenLoopLoad.Result direct, OpenLoopLoad.Result fleet) {
        System.out.println("requests_per_second=" + rate);
        System.out.println("requests=" + fleet.latencyMicros().getTotalCount());
        System.out.println("failures=" + (direct.failures() + fleet.failures()));
        print("direct_p50_ms", direct.percentileMillis(MEDIAN));
        print("direct_p99_ms", direct.percentileMillis(P99));
        print("fleet_p50_ms", fleet.percentileMillis(MEDIAN));
        print("fleet_p99_ms", fleet.percentileMillis(P99));
        print("added_p50_ms", fleet.percentileMillis(MEDIAN) - direct.percentileMillis(MEDIAN));
        print("added_p99_ms", fleet.percentileMillis(P99) - direct.percentileMillis(P99));
    }

    private static void print(String key, double millis) {
        System.out.printf(Locale.ROOT, "%s=%.3f%n", key, millis);
    }
}
