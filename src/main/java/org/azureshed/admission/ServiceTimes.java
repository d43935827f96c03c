package org.azureshed.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.RequestClass;

/**
 * Observed service times of one target, and which routes run long. Not thread-safe.
 *
 * <p>A request of a short class runs long when it holds its slot for more than {@value
 * #CLASS_FACTOR} times the median of its class, or {@value #TARGET_FACTOR} times the median of the
 * target's fastest class. The medians count all requests, so that a target that is slow as a whole
 * has no long routes. A route is treated as long when the moving share of its requests that ran
 * long is above one half, until the share is below one fifth; at least one other route must not run
 * long, as there is nothing to protect otherwise.
 */
final class ServiceTimes {
    static final int CLASS_FACTOR = 8;
    static final int TARGET_FACTOR = 32;

    private static final int WINDOW = 64;
    private static final int MAX_ROUTES = 256;
    private static final long MIN_LONG_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long INITIAL_SHORT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long INITIAL_LONG_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final double MEAN_WEIGHT = 1.0 / 16;
    private static final double SHARE_WEIGHT = 1.0 / 4;
    private static final double LONG_ABOVE = 0.5;
    private static final double SHORT_BELOW = 0.2;

    private final Map<String, MovingMedian> classMedians = new HashMap<>();
    private final LinkedHashMap<String, RouteShare> routes = new LinkedHashMap<>(16, 0.75f, true);
    private final long[] recentNanos = new long[WINDOW];
    private final boolean[] recentErrors = new boolean[WINDOW];
    private int durations;
    private int outcomes;
    private int normalRoutes;
    private double meanShortNanos = INITIAL_SHORT_NANOS;
    private double meanLongNanos = INITIAL_LONG_NANOS;

    /** Records a request that reached the target. */
    void finished(Request request, Lane lane, boolean counted, boolean failed, long nanos) {
        recentErrors[outcomes++ % WINDOW] = failed;
        if (failed) {
            return;
        }
        RequestClass requestClass = request.requestClass();
        if (lane == Lane.SHORT) {
            recentNanos[durations++ % WINDOW] = nanos;
            meanShortNanos += (nanos - meanShortNanos) * MEAN_WEIGHT;
        } else {
            meanLongNanos += (nanos - meanLongNanos) * MEAN_WEIGHT;
        }
        if (!requestClass.longRunning()) {
            if (!counted) {
                observe(request, nanos > longAfterNanos(requestClass));
            }
            classMedians
                    .computeIfAbsent(requestClass.name(), name -> new MovingMedian())
                    .add(nanos);
        }
    }

    /** Records a request of a short class that already holds its slot for too long. */
    void ranLong(Request request) {
        observe(request, true);
    }

    /** The time after which a request of a short class counts as long. */
    long longAfterNanos(RequestClass requestClass) {
        double fastest = Double.MAX_VALUE;
        for (MovingMedian median : classMedians.values()) {
            if (median.settled()) {
                fastest = Math.min(fastest, median.value());
            }
        }
        if (fastest == Double.MAX_VALUE) {
            return TimeUnit.MILLISECONDS.toNanos(requestClass.deadlineMillis());
        }
        double limit = TARGET_FACTOR * fastest;
        MovingMedian own = classMedians.get(requestClass.name());
        if (own != null && own.settled()) {
            limit = Math.min(limit, CLASS_FACTOR * own.value());
        }
        return Math.max(MIN_LONG_NANOS, (long) limit);
    }

    /** The lane of a new request. */
    Lane laneOf(Request request) {
        if (request.requestClass().longRunning()) {
            return Lane.LONG;
        }
        RouteShare share = routes.get(request.statisticsKey());
        return share != null && share.runsLong && normalRoutes > 0 ? Lane.LONG : Lane.SHORT;
    }

    double meanNanos(Lane lane) {
        return lane == Lane.SHORT ? meanShortNanos : meanLongNanos;
    }

    long medianMicros() {
        int count = Math.min(durations, WINDOW);
        if (count == 0) {
            return 0;
        }
        long[] sorted = Arrays.copyOf(recentNanos, count);
        Arrays.sort(sorted);
        return TimeUnit.NANOSECONDS.toMicros(sorted[count / 2]);
    }

    int samples() {
        return Math.min(outcomes, WINDOW);
    }

    double errorShare() {
        int count = samples();
        int errors = 0;
        for (int i = 0; i < count; i++) {
            errors += recentErrors[i] ? 1 : 0;
        }
        return count == 0 ? 0 : (double) errors / count;
    }

    private void observe(Request request, boolean ranLong) {
        RouteShare share = routes.get(request.statisticsKey());
        if (share == null) {
            share = new RouteShare();
            routes.put(request.statisticsKey(), share);
            normalRoutes++;
        }
        boolean before = share.runsLong;
        share.value += ((ranLong ? 1 : 0) - share.value) * SHARE_WEIGHT;
        share.runsLong = share.value > (before ? SHORT_BELOW : LONG_ABOVE);
        if (before != share.runsLong) {
            normalRoutes += before ? 1 : -1;
        }
        if (routes.size() > MAX_ROUTES) {
            RouteShare eldest = routes.pollFirstEntry().getValue();
            normalRoutes -= eldest.runsLong ? 0 : 1;
        }
    }

    /** Moving share of a route's requests that ran long. */
    private static final class RouteShare {
        private double value;
        private boolean runsLong;
    }

    /** Median that follows the samples by small multiplicative steps. */
    private static final class MovingMedian {
        private static final int SETTLED_SAMPLES = 16;
        private static final double FIRST_STEP = 1.5;
        private static final double STEP = 1.08;

        private double value;
        private int samples;

        void add(long nanos) {
            double sample = Math.max(1, nanos);
            double step = samples < SETTLED_SAMPLES ? FIRST_STEP : STEP;
            if (samples++ == 0) {
                value = sample;
            } else if (sample > value) {
                value = Math.min(sample, value * step);
            } else {
                value = Math.max(sample, value / step);
            }
        }

        boolean settled() {
            return samples >= SETTLED_SAMPLES;
        }

        double value() {
            return value;
        }
    }
}
