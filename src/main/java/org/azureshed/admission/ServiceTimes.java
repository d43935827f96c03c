package org.azureshed.admission;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.azureshed.model.RequestClass;

/**
 * Observed service times of one target, and the routes that are long-running by observation. Not
 * thread-safe.
 *
 * <p>A request of a short class is long when it holds its slot for more than {@value #CLASS_FACTOR}
 * times the median of its class, or {@value #TARGET_FACTOR} times the median of the target's
 * fastest class. The medians include the long requests too, so a target that is slow as a whole has
 * no long routes. A route becomes long when the moving average of its share of long requests rises
 * above one half, and short again when it falls below one fifth. Long routes use the long lane only
 * if there is at least one short route to protect. A new route counts as short until two of its
 * requests were long.
 */
final class ServiceTimes {
    static final int CLASS_FACTOR = 8;
    static final int TARGET_FACTOR = 32;

    /** Number of latest samples that are kept. */
    private static final int WINDOW = 64;

    /** With older samples the report of a target with few requests would be out of date. */
    private static final long SAMPLE_AGE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final int MAX_ROUTES = 256;

    /**
     * Shorter requests never count as long. An ordinary page can take 32 times as long as the
     * smallest requests, such as those for a click on a button, and must not be restricted to the
     * long lane for that.
     */
    private static final long MIN_LONG_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final long INITIAL_SHORT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long INITIAL_LONG_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Weight of a new sample in the moving averages of the service time. */
    private static final double MEAN_WEIGHT = 1.0 / 16;

    /**
     * Smallest weight of a new sample in the moving average of a route's share of long requests.
     */
    private static final double SHARE_WEIGHT = 1.0 / 4;

    private static final double LONG_ABOVE = 0.5;
    private static final double SHORT_BELOW = 0.2;

    private final Map<String, MovingMedian> classMedians = new HashMap<>();
    private final LinkedHashMap<String, RouteShare> routes = new LinkedHashMap<>(16, 0.75f, true);
    private final long[] recentNanos = new long[WINDOW];
    private final long[] durationsAtNanos = new long[WINDOW];
    private final boolean[] recentErrors = new boolean[WINDOW];
    private final long[] outcomesAtNanos = new long[WINDOW];
    private int durations;
    private int outcomes;
    private int shortRoutes;
    private double meanShortNanos = INITIAL_SHORT_NANOS;
    private double meanLongNanos = INITIAL_LONG_NANOS;

    /**
     * Records a request that reached the target.
     *
     * @param alreadyObserved whether {@link #ranLong} was called for it
     */
    void finished(
            Request request,
            Lane lane,
            boolean alreadyObserved,
            boolean failed,
            long nanos,
            long nowNanos) {
        outcomesAtNanos[outcomes % WINDOW] = nowNanos;
        recentErrors[outcomes++ % WINDOW] = failed;
        if (failed) {
            return;
        }
        RequestClass requestClass = request.requestClass();
        if (lane == Lane.SHORT) {
            durationsAtNanos[durations % WINDOW] = nowNanos;
            recentNanos[durations++ % WINDOW] = nanos;
            meanShortNanos += (nanos - meanShortNanos) * MEAN_WEIGHT;
        } else {
            meanLongNanos += (nanos - meanLongNanos) * MEAN_WEIGHT;
        }
        if (!requestClass.longRunning()) {
            if (!alreadyObserved) {
                recordRoute(request, nanos > longAfterNanos(requestClass));
            }
            classMedians
                    .computeIfAbsent(requestClass.name(), name -> new MovingMedian())
                    .add(nanos);
        }
    }

    /** Records that a running request of a short class exceeded {@link #longAfterNanos}. */
    void ranLong(Request request) {
        recordRoute(request, true);
    }

    /** The time after which a request of a short class counts as long. */
    long longAfterNanos(RequestClass requestClass) {
        double fastest = Double.MAX_VALUE;
        for (MovingMedian median : classMedians.values()) {
            if (median.hasEnoughSamples()) {
                fastest = Math.min(fastest, median.value());
            }
        }
        if (fastest == Double.MAX_VALUE) {
            return TimeUnit.MILLISECONDS.toNanos(requestClass.deadlineMillis());
        }
        double limit = TARGET_FACTOR * fastest;
        MovingMedian own = classMedians.get(requestClass.name());
        if (own != null && own.hasEnoughSamples()) {
            limit = Math.min(limit, CLASS_FACTOR * own.value());
        }
        return Math.max(MIN_LONG_NANOS, (long) limit);
    }

    /** Returns the lane that a new request counts against. */
    Lane laneOf(Request request) {
        if (request.requestClass().longRunning()) {
            return Lane.LONG;
        }
        RouteShare share = routes.get(request.statisticsKey());
        return share != null && share.runsLong && shortRoutes > 0 ? Lane.LONG : Lane.SHORT;
    }

    double meanNanos(Lane lane) {
        return lane == Lane.SHORT ? meanShortNanos : meanLongNanos;
    }

    long medianMicros(long nowNanos) {
        long[] sorted =
                IntStream.range(0, Math.min(durations, WINDOW))
                        .filter(i -> recent(durationsAtNanos[i], nowNanos))
                        .mapToLong(i -> recentNanos[i])
                        .sorted()
                        .toArray();
        return sorted.length == 0 ? 0 : TimeUnit.NANOSECONDS.toMicros(sorted[sorted.length / 2]);
    }

    int samples(long nowNanos) {
        return (int) recentOutcomes(nowNanos).count();
    }

    double errorShare(long nowNanos) {
        return recentOutcomes(nowNanos).map(i -> recentErrors[i] ? 1 : 0).average().orElse(0);
    }

    private IntStream recentOutcomes(long nowNanos) {
        return IntStream.range(0, Math.min(outcomes, WINDOW))
                .filter(i -> recent(outcomesAtNanos[i], nowNanos));
    }

    private static boolean recent(long atNanos, long nowNanos) {
        return nowNanos - atNanos <= SAMPLE_AGE_NANOS;
    }

    private void recordRoute(Request request, boolean ranLong) {
        RouteShare share = routes.get(request.statisticsKey());
        if (share == null) {
            share = new RouteShare();
            routes.put(request.statisticsKey(), share);
            shortRoutes++;
        }
        boolean wasLong = share.runsLong;
        share.observed++;
        double weight = Math.max(SHARE_WEIGHT, 1.0 / (share.observed + 1));
        share.value += ((ranLong ? 1 : 0) - share.value) * weight;
        share.runsLong = share.value > (wasLong ? SHORT_BELOW : LONG_ABOVE);
        if (wasLong != share.runsLong) {
            shortRoutes += wasLong ? 1 : -1;
        }
        if (routes.size() > MAX_ROUTES) {
            RouteShare eldest = routes.pollFirstEntry().getValue();
            shortRoutes -= eldest.runsLong ? 0 : 1;
        }
    }

    /** Moving average of the share of a route's requests that were long. */
    private static final class RouteShare {
        private double value;
        private int observed;
        private boolean runsLong;
    }

    /** Streaming estimate of a median, which moves towards each sample by a constant factor. */
    private static final class MovingMedian {
        private static final int INITIAL_SAMPLES = 16;
        private static final double INITIAL_STEP = 1.5;
        private static final double STEP = 1.08;

        private double value;
        private int samples;

        void add(long nanos) {
            double sample = Math.max(1, nanos);
            double step = samples < INITIAL_SAMPLES ? INITIAL_STEP : STEP;
            if (samples++ == 0) {
                value = sample;
            } else if (sample > value) {
                value = Math.min(sample, value * step);
            } else {
                value = Math.max(sample, value / step);
            }
        }

        boolean hasEnoughSamples() {
            return samples >= INITIAL_SAMPLES;
        }

        double value() {
            return value;
        }
    }
}
