package org.azureshed.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * One route of the current configuration.
 *
 * @param name name of the route
 * @param host host name that it matches, in lower case and without a final dot
 * @param pathPrefix prefix of the paths that it matches; begins and ends with a slash
 * @param repeatable whether a request may run more than once
 * @param timeoutMillis deadline of a request in milliseconds from its arrival
 * @param targetLatencyMillis latency objective in milliseconds; a later answer is still sent, up to
 *     the timeout
 * @param priority priority of its requests in queues; 0 is served first
 * @param attempts maximum number of attempts for one request, including the first
 * @param publicAccess whether requests need no key of an organisation
 * @param shares services that its requests are divided among, at least one
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
        boolean publicAccess,
        List<Share> shares) {
    /**
     * The share of a route's requests that a service receives.
     *
     * @param service name of the service
     * @param weight share relative to the sum of the route's weights
     */
    public record Share(String service, double weight) {}

    /**
     * Copies the route for a request that azureshed must not retry.
     *
     * @return a copy that allows one attempt
     */
    public ForwardRoute withoutRetries() {
        return new ForwardRoute(
                name,
                host,
                pathPrefix,
                repeatable,
                timeoutMillis,
                targetLatencyMillis,
                priority,
                1,
                publicAccess,
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
