package org.azureshed.model;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Set;

/**
 * Maps requests that match host, path and method to a service.
 *
 * @param id name of the route, unique in its preset
 * @param host host name that it matches, or {@code *} for all
 * @param path path prefix that it matches, in whole segments; starts with a slash
 * @param methods HTTP methods that it matches; empty for all
 * @param service name of the service that runs the requests
 * @param requestClass name of the requests' class
 */
public record Route(
        String id,
        String host,
        String path,
        Set<String> methods,
        String service,
        String requestClass) {
    /** Checks the fields. */
    public Route {
        checkArgument(!id.isBlank(), "a route has an empty id");
        checkArgument(path.startsWith("/"), "route %s: path must start with /", id);
        methods = Set.copyOf(methods);
    }
}
