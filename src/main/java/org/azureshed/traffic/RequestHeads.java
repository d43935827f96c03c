package org.azureshed.traffic;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.azureshed.dispatch.CallerAccount;
import org.azureshed.http.RequestTarget;

/**
 * Checks that a request head was sent as one. If a client stops in the middle of a request and goes
 * on with another one, both may decode as a single request that nobody sent.
 */
final class RequestHeads {
    private static final Pattern REQUEST_LINE =
            Pattern.compile("[A-Z]+ (/|https?://)\\S* HTTP/1\\.\\d$");

    /** A usual method behind the rest of an earlier request. */
    private static final Pattern PREFIXED_METHOD =
            Pattern.compile(".+(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS)");

    /** Registered methods that end like a usual one. */
    private static final Set<String> LONGER_METHODS = Set.of("ORDERPATCH", "PROPPATCH");

    private RequestHeads() {}

    /**
     * Returns why the head cannot be a single one.
     *
     * @param request decoded head
     * @param single headers that a client sends at most once
     * @return the reason, or empty if the head is sound
     */
    static Optional<String> fault(HttpRequest request, List<String> single) {
        String method = request.method().name();
        if (PREFIXED_METHOD.matcher(method).matches() && !LONGER_METHODS.contains(method)) {
            return Optional.of("method " + method);
        }
        for (Map.Entry<String, String> header : request.headers()) {
            if (holdsRequestLine(header.getValue())) {
                return Optional.of("request line in header " + header.getKey());
            }
        }
        return single.stream()
                .filter(name -> request.headers().getAll(name).size() > 1)
                .map(name -> "more than one header " + name)
                .findFirst();
    }

    /** Converts the absolute form of a request's target to the one that targets get. */
    static void setOriginForm(HttpRequest request) {
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        RequestTarget target = RequestTarget.of(request.uri(), host);
        if (!target.path().equals(request.uri())) {
            request.setUri(target.path());
            request.headers().set(HttpHeaderNames.HOST, target.authority());
        }
    }

    /** Estimate of the heap that a decoded head uses. */
    static long heldBytes(HttpRequest request) {
        long textBytes = request.uri().length();
        for (Map.Entry<String, String> header : request.headers()) {
            textBytes += header.getKey().length() + header.getValue().length();
        }
        return CallerAccount.headBytes(1L + request.headers().size(), textBytes);
    }

    private static boolean holdsRequestLine(String text) {
        // The protocol rules out most values without a search.
        return text.contains(" HTTP/1.") && REQUEST_LINE.matcher(text).find();
    }
}
