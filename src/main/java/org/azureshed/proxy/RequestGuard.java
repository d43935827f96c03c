package org.azureshed.proxy;

import jakarta.servlet.http.HttpServletRequest;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.HttpHeaders;
import org.azureshed.model.RefusalReason;

/** Checks the head of a caller's request beyond the server's own checks of size and syntax. */
final class RequestGuard {
    private static final int MAX_HEADERS = 100;
    private static final int MAX_PATH_CHARS = 8_000;

    private final long maxBodyBytes;

    /**
     * Creates a guard.
     *
     * @param maxBodyBytes largest request body in bytes
     */
    RequestGuard(long maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    long maxBodyBytes() {
        return maxBodyBytes;
    }

    /**
     * Checks framing, header count, path and declared body size.
     *
     * @param request the request
     * @return why the request is refused, or empty if it is accepted
     */
    Optional<RefusalReason> check(HttpServletRequest request) {
        List<String> lengths = Collections.list(request.getHeaders(HttpHeaders.CONTENT_LENGTH));
        List<String> codings = Collections.list(request.getHeaders(HttpHeaders.TRANSFER_ENCODING));
        if (lengths.size() > 1 || codings.size() > 1) {
            return Optional.of(RefusalReason.BAD_FRAMING);
        }
        if (!lengths.isEmpty() && !codings.isEmpty()) {
            return Optional.of(RefusalReason.BAD_FRAMING);
        }
        if (!codings.isEmpty() && !codings.getFirst().equalsIgnoreCase("chunked")) {
            return Optional.of(RefusalReason.BAD_FRAMING);
        }
        int headers = Collections.list(request.getHeaderNames()).size();
        if (headers > MAX_HEADERS || request.getRequestURI().length() > MAX_PATH_CHARS) {
            return Optional.of(RefusalReason.HEADER_LIMIT);
        }
        if (!request.getRequestURI().startsWith("/")) {
            return Optional.of(RefusalReason.BAD_HEADER);
        }
        return request.getContentLengthLong() > maxBodyBytes
                ? Optional.of(RefusalReason.BODY_LIMIT)
                : Optional.empty();
    }
}
