package org.azureshed.host;

import java.util.LinkedHashMap;
import java.util.Map;

/** Mean run times of successful requests by route. Not thread-safe. */
final class RouteWork {
    /**
     * Routes whose mean is kept, those with the latest runs. Services have a few routes; the bound
     * covers configurations that name many.
     */
    static final int MAX_ROUTES = 64;

    /** Runs of a route before its mean counts; a single run may be an unusual one. */
    static final int MIN_RUNS = 3;

    /** Smallest weight of a new run time, as in the target's mean over all requests. */
    private static final double MIN_WEIGHT = 0.2;

    private final Map<String, Mean> means =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Mean> eldest) {
                    return size() > MAX_ROUTES;
                }
            };

    /**
     * Mean run time of a route.
     *
     * @param runs number of runs
     * @param nanos mean in nanoseconds
     */
    private record Mean(int runs, double nanos) {}

    /**
     * Records a successful run.
     *
     * @param route name of the route
     * @param runNanos run time in nanoseconds
     */
    void record(String route, long runNanos) {
        Mean old = means.getOrDefault(route, new Mean(0, 0));
        int runs = old.runs() + 1;
        double weight = Math.max(MIN_WEIGHT, 1.0 / runs);
        means.put(route, new Mean(runs, old.nanos() + weight * (runNanos - old.nanos())));
    }

    /**
     * Expected run time of a request.
     *
     * @param route name of its route
     * @param overallNanos mean run time of all routes, used for a route with too few runs
     * @return nanoseconds
     */
    double expectedNanos(String route, double overallNanos) {
        Mean mean = means.get(route);
        return mean == null || mean.runs() < MIN_RUNS ? overallNanos : mean.nanos();
    }
}
