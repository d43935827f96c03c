package org.azureshed.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.azureshed.http.RequestTarget;

/**
 * The configuration of a node's entry side: routes, organisations and limits of callers'
 * connections. Immutable.
 *
 * <pre>{@code
 * Optional<ForwardRoute> route = configuration.route("shop.example", "/cart/7?full=1");
 * }</pre>
 */
public final class TrafficConfiguration {
    private final long version;
    private final CallerLimits limits;
    private final Map<String, List<ForwardRoute>> routesByHost;
    private final Set<String> services;
    private final boolean hasOrganisations;
    private final OrganisationKeys keys;

    /**
     * Limits of callers' connections and requests.
     *
     * @param maxHeaderBytes largest size of the request line, and of the headers together, in bytes
     * @param maxBodyBytes largest size of a request body, in bytes
     * @param headerTimeoutMillis longest time in milliseconds from the first byte to the end of the
     *     headers
     * @param idleTimeoutMillis time in milliseconds after which an idle connection is closed
     */
    public record CallerLimits(
            int maxHeaderBytes,
            long maxBodyBytes,
            long headerTimeoutMillis,
            long idleTimeoutMillis) {
        /** Checks the arguments. */
        public CallerLimits {
            checkArgument(maxHeaderBytes > 0, "maxHeaderBytes must be positive");
            checkArgument(maxBodyBytes >= 0, "maxBodyBytes must not be negative");
            checkArgument(headerTimeoutMillis > 0, "headerTimeoutMillis must be positive");
            checkArgument(idleTimeoutMillis > 0, "idleTimeoutMillis must be positive");
        }
    }

    /**
     * Creates a configuration.
     *
     * @param version grows with each new configuration
     * @param routes all routes
     * @param hasOrganisations whether requests need keys of organisations
     * @param keys keys of the organisations
     * @param limits limits of callers' connections
     */
    public TrafficConfiguration(
            long version,
            List<ForwardRoute> routes,
            boolean hasOrganisations,
            OrganisationKeys keys,
            CallerLimits limits) {
        this.version = version;
        this.hasOrganisations = hasOrganisations;
        this.keys = keys;
        this.limits = limits;
        Map<String, List<ForwardRoute>> byHost = new HashMap<>();
        routes.stream()
                .sorted(
                        Comparator.comparingInt((ForwardRoute route) -> route.pathPrefix().length())
                                .reversed())
                .forEach(
                        route ->
                                byHost.computeIfAbsent(
                                                route.host(), key -> new java.util.ArrayList<>())
                                        .add(route));
        this.routesByHost = byHost;
        this.services =
                routes.stream()
                        .flatMap(route -> route.shares().stream())
                        .map(ForwardRoute.Share::service)
                        .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Finds the route with the longest prefix of the path.
     *
     * @param authority host of the request, with or without a port
     * @param uri path and query of the request
     * @return the route, or empty if the configuration has none for it
     */
    public Optional<ForwardRoute> route(String authority, String uri) {
        String host = new RequestTarget(authority, uri).host();
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        for (ForwardRoute route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Services that some route leads to.
     *
     * @return names of the services, unmodifiable
     */
    public Set<String> services() {
        return services;
    }

    /**
     * Whether requests need keys, apart from those on public routes.
     *
     * @return true if the configuration contains organisations, even if none of them holds a key
     */
    public boolean hasOrganisations() {
        return hasOrganisations;
    }

    /**
     * Keys of the organisations.
     *
     * @return the lookup from a key to its holder
     */
    public OrganisationKeys keys() {
        return keys;
    }

    /**
     * Version of this configuration.
     *
     * @return a number that grows with each new configuration
     */
    public long version() {
        return version;
    }

    /**
     * Limits of callers' connections.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }
}
