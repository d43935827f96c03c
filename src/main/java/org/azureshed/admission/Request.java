package org.azureshed.admission;

import static com.google.common.base.Preconditions.checkArgument;

import org.azureshed.model.RequestClass;
import org.azureshed.model.TargetId;

/**
 * What admission needs to know of a request.
 *
 * @param target the hosted target that shall run it
 * @param requestClass its class
 * @param route id of its route; empty if unknown, then statistics are kept by class
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
    /** Checks the fields. */
    public Request {
        checkArgument(target != null && requestClass != null, "a request needs target and class");
        checkArgument(route != null && organisation != null, "use an empty text for unknown names");
    }

    String statisticsKey() {
        return route.isEmpty() ? requestClass.name() : route;
    }
}
