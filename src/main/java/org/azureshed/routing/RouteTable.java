package org.azureshed.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.azureshed.model.Route;

/**
 * Maps host, path prefix and method of a request to its route.
 *
 * <p>A lookup costs at most two hash lookups per path segment, independent of the number of routes.
 * A route for the exact host takes precedence over one for host {@code *}, then the longest path
 * prefix, then a route that names the method over one for all methods.
 */
public final class RouteTable {
    private static final String ANY_HOST = "*";

    private final Map<String, Map<String, List<Route>>> byHostAndPath = new HashMap<>();

    private RouteTable() {}

    /**
     * Builds a table.
     *
     * @param routes all routes, in any order
     * @return an immutable table of them
     */
    public static RouteTable of(List<Route> routes) {
        RouteTable table = new RouteTable();
        for (Route route : routes) {
            table.byHostAndPath
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .computeIfAbsent(trimSlash(route.path()), path -> new ArrayList<>(1))
                    .add(route);
        }
        return table;
    }

    /**
     * Finds the route of a request.
     *
     * @param host Host header without port
     * @param path path without query, starting with a slash
     * @param method HTTP method
     * @return the route, or empty if none matches
     */
    public Optional<Route> find(String host, String path, String method) {
        return findIn(byHostAndPath.get(host.toLowerCase(Locale.ROOT)), path, method)
                .or(() -> findIn(byHostAndPath.get(ANY_HOST), path, method));
    }

    private static Optional<Route> findIn(
            Map<String, List<Route>> byPath, String path, String method) {
        if (byPath == null) {
            return Optional.empty();
        }
        String prefix = trimSlash(path);
        while (true) {
            Optional<Route> route = matchMethod(byPath.getOrDefault(prefix, List.of()), method);
            if (route.isPresent() || prefix.isEmpty()) {
                return route;
            }
            prefix = prefix.substring(0, prefix.lastIndexOf('/'));
        }
    }

    private static Optional<Route> matchMethod(List<Route> routes, String method) {
        Optional<Route> forAll = Optional.empty();
        for (Route route : routes) {
            if (route.methods().contains(method)) {
                return Optional.of(route);
            }
            if (route.methods().isEmpty()) {
                forAll = Optional.of(route);
            }
        }
        return forAll;
    }

    private static String trimSlash(String path) {
        int end = path.length();
        while (end > 0 && path.charAt(end - 1) == '/') {
            end--;
        }
        return path.substring(0, end);
    }
}
