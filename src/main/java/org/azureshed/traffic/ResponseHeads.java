package org.azureshed.traffic;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.azureshed.http.StatusLines;

/**
 * Checks that a response head was sent as one. If a server stops in the middle of a head and goes
 * on with another one, both decode as a single head: the status line of the first with headers of
 * the second.
 */
final class ResponseHeads {
    private static final String PROTOCOL = "HTTP";

    private ResponseHeads() {}

    /**
     * Returns why the head cannot be a single one.
     *
     * @param response decoded head
     * @param single headers that a server sends at most once
     * @return the reason, or empty if the head is sound
     */
    static Optional<String> fault(HttpResponse response, List<String> single) {
        if (!response.protocolVersion().protocolName().equals(PROTOCOL)) {
            return Optional.of("protocol " + response.protocolVersion());
        }
        if (StatusLines.in(response.status().reasonPhrase())) {
            return Optional.of("status line in the reason phrase");
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (StatusLines.in(header.getValue()) || StatusLines.in(header.getKey())) {
                return Optional.of("status line in header " + header.getKey());
            }
        }
        return single.stream()
                .filter(name -> response.headers().getAll(name).size() > 1)
                .map(name -> "more than one header " + name)
                .findFirst();
    }

    /** Whether a response has a body if its headers say so; otherwise its head ends it. */
    static boolean mayHaveBody(HttpMethod method, HttpResponseStatus status) {
        return !method.equals(HttpMethod.HEAD)
                && status.code() != HttpResponseStatus.NO_CONTENT.code()
                && status.code() != HttpResponseStatus.NOT_MODIFIED.code();
    }
}
