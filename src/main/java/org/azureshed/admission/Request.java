package org.azureshed.admission;

import static com.google.common.base.Preconditions.checkArgument;

import org.azureshed.model.RequestClass;
import org.azureshed.model.TargetId;

/**
 * The properties of a request that admission depends on.
 *
 * @param target the hosted target that it was routed to
 * @param requestClass sets priority, queue limit and lane
 * @param route id of its route; empty if unknown, in which case statistics are kept by class
 * @param organisation organisation that sent it; empty if unknown
 * @param deadlineNanos time by which the answer must start, on the clock of the {@code nowNanos}
 *     parameters
 */
public record Request(
        TargetId target,
        RequestClass requestClass,
        String route,
        String organisation,
        long deadlineNanos) {
    /** Rejects null fields. */
    public Request {
        checkArgument(target != null && requestClass != null, "a request needs target and class");
        checkArgument(route != null && organisation != null, "use an empty text for unknown names");
    }

    String statisticsKey() {
        return route.isEmpty() ? requestClass.name() : route;
    }
}
