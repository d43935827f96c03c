package org.azureshed.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Divides the requests of a route among its services by weight. Successive requests of a route take
 * successive points of a low-discrepancy sequence, so each service's share is close to its weight
 * even over few requests. Not thread-safe.
 */
public final class ServiceSplit {
    /** Fractional part of the golden ratio; its multiples spread evenly over 0 to 1. */
    private static final double GOLDEN_FRACTION = 0.6180339887498949;

    private final double startPoint;
    private final Map<String, Long> counts = new HashMap<>();

    /**
     * Creates a split.
     *
     * @param startPoint offset of every sequence, 0 to 1; must differ between nodes, since they
     *     don't share their counts
     */
    public ServiceSplit(double startPoint) {
        this.startPoint = startPoint;
    }

    /**
     * Picks the service of the route's next request.
     *
     * @param route the route
     * @return name of one of its services
     */
    public String next(ForwardRoute route) {
        if (route.shares().size() == 1) {
            return route.shares().getFirst().service();
        }
        double total = 0;
        for (ForwardRoute.Share share : route.shares()) {
            total += share.weight();
        }
        long count = counts.merge(route.name(), 1L, Long::sum);
        double point = (startPoint + count * GOLDEN_FRACTION) % 1 * total;
        for (ForwardRoute.Share share : route.shares()) {
            point -= share.weight();
            if (point < 0) {
                return share.service();
            }
        }
        return route.shares().getLast().service();
    }
}
