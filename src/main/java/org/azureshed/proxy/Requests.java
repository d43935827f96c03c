package org.azureshed.proxy;

import jakarta.servlet.http.HttpServletRequest;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;
import org.apache.hc.core5.http.HttpHeaders;

/** Builds the outgoing request for a received one. */
final class Requests {
    private Requests() {}

    /**
     * Copies method, path, query and headers.
     *
     * @param from the request received
     * @param includeHeader selects, by name, which end-to-end headers to copy
     * @return the request to send, without a body
     */
    static CancellableRequest copy(HttpServletRequest from, Predicate<String> includeHeader) {
        String query = from.getQueryString();
        String path = from.getRequestURI() + (query == null ? "" : "?" + query);
        CancellableRequest to = new CancellableRequest(from.getMethod(), path);
        Set<String> connectionHeaders = connectionHeaders(from);
        for (String name : Collections.list(from.getHeaderNames())) {
            boolean listed = connectionHeaders.contains(name.toLowerCase(Locale.ROOT));
            if (!InternalHeaders.isHopByHop(name) && !listed && includeHeader.test(name)) {
                Collections.list(from.getHeaders(name)).forEach(value -> to.addHeader(name, value));
            }
        }
        return to;
    }

    private static Set<String> connectionHeaders(HttpServletRequest from) {
        Set<String> names = new HashSet<>();
        for (String value : Collections.list(from.getHeaders(HttpHeaders.CONNECTION))) {
            names.addAll(List.of(value.toLowerCase(Locale.ROOT).trim().split("\\s*,\\s*")));
        }
        return names;
    }
}
