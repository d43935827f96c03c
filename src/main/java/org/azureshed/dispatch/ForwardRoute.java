package org.azureshed.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * One route of the configuration in force.
 *
 * @param name name of the route
 * @param host host that it serves, in lower case
 * @param pathPrefix prefix of the paths that it serves; begins and ends with a slash
 * @param repeatable whether a request may run more than once
 * @param timeoutMillis longest time that a caller waits for its answer
 * @param targetLatencyMillis time within which an answer is worth most
 * @param priority rank of its requests; 0 is served first
 * @param attempts most targets that one request may be sent to
 * @param shares services that take its requests, at least one
 */
public record ForwardRoute(
        String name,
        String host,
        String pathPrefix,
        boolean repeatable,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        int attempts,
        List<Share> shares) {
    /**
     * A service's part of a route.
     *
     * @param service name of the service
     * @param weight its part, relative to the other parts
     */
    public record Share(String service, double weight) {}

    /**
     * The same route for a request that must not be sent again by itself.
     *
     * @return a copy that allows one attempt
     */
    public ForwardRoute withoutRepeats() {
        return new ForwardRoute(
                name,
                host,
                pathPrefix,
                repeatable,
                timeoutMillis,
                targetLatencyMillis,
                priority,
                1,
                shares);
    }

    /** Checks the arguments. */
    public ForwardRoute {
        checkArgument(!shares.isEmpty(), "route %s has no service", name);
        checkArgument(timeoutMillis > 0, "route %s has no timeout", name);
        checkArgument(attempts > 0, "route %s allows no attempt", name);
        shares = List.copyOf(shares);
    }
}
