package org.azureshed.proxy;

import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpHeaders;
import org.azureshed.model.Outcome;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.UnknownCause;

/** Writes answers, refusals and unknown outcomes to the sender of a request. */
final class AnswerWriter {
    private static final int COPY_BUFFER_BYTES = 16 * 1024;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private AnswerWriter() {}

    /**
     * Copies the status and the end-to-end headers.
     *
     * @param from the answer received
     * @param to the answer to send
     * @param includeHeader selects, by name, which end-to-end headers to copy
     */
    static void copyHead(
            ClassicHttpResponse from, HttpServletResponse to, Predicate<String> includeHeader) {
        to.setStatus(from.getCode());
        Set<String> connectionHeaders = connectionHeaders(from);
        for (Header header : from.getHeaders()) {
            String name = header.getName();
            boolean listed = connectionHeaders.contains(name.toLowerCase(Locale.ROOT));
            if (!InternalHeaders.isHopByHop(name) && !listed && includeHeader.test(name)) {
                to.addHeader(name, header.getValue());
            }
        }
        Header length = from.getFirstHeader(HttpHeaders.CONTENT_LENGTH);
        if (length != null) {
            to.setHeader(HttpHeaders.CONTENT_LENGTH, length.getValue());
        }
    }

    private static Set<String> connectionHeaders(ClassicHttpResponse from) {
        Header connection = from.getFirstHeader(HttpHeaders.CONNECTION);
        return connection == null
                ? Set.of()
                : new HashSet<>(
                        List.of(connection.getValue().toLowerCase(Locale.ROOT).split("\\s*,\\s*")));
    }

    /**
     * Copies the body. The head is flushed before waiting for the body, so a truncated body aborts
     * the connection and cannot be replaced by an error answer. If bytes of a body of known length
     * arrived together with the head, they are sent together too: reading them cannot fail, and a
     * separate TCP segment would wake the receiver twice.
     *
     * @param entity the body, or null
     * @param to the answer to send
     * @param inFlight the request that the body answers; cancelled if the copy fails
     * @param recorder also gets the body, if present
     * @throws IOException if either connection fails
     */
    static void copyBody(
            HttpEntity entity,
            HttpServletResponse to,
            InFlight inFlight,
            Optional<AnswerRecorder> recorder)
            throws IOException {
        if (entity == null) {
            return;
        }
        try {
            InputStream input = entity.getContent();
            long length = entity.getContentLength();
            if (length <= 0 || input.available() == 0) {
                to.flushBuffer();
            }
            copy(input, bufferBytes(length), to.getOutputStream(), inFlight, recorder);
        } catch (IOException e) {
            inFlight.cancel(UnknownCause.CALLER_GONE);
            throw e;
        }
    }

    /** Small answers of known length get a small buffer, since garbage collection costs latency. */
    private static int bufferBytes(long length) {
        return length > 0 && length < COPY_BUFFER_BYTES ? (int) length : COPY_BUFFER_BYTES;
    }

    private static void copy(
            InputStream input,
            int bufferBytes,
            OutputStream output,
            InFlight inFlight,
            Optional<AnswerRecorder> recorder)
            throws IOException {
        byte[] buffer = new byte[bufferBytes];
        int count;
        while ((count = input.read(buffer)) >= 0) {
            output.write(buffer, 0, count);
            output.flush();
            inFlight.progressed();
            if (recorder.isPresent()) {
                recorder.get().recordBody(buffer, count);
            }
        }
    }

    /**
     * Writes the answer for a request that did not run.
     *
     * @param to the answer to send
     * @param reason why it did not run
     * @param retryAfterMillis delay before a retry, in milliseconds; ignored if the reason allows
     *     none
     * @throws IOException if the connection fails
     */
    static void writeRefusal(HttpServletResponse to, RefusalReason reason, long retryAfterMillis)
            throws IOException {
        if (reason.retryAfter()) {
            long seconds = Math.max(1, Math.ceilDiv(retryAfterMillis, MILLIS_PER_SECOND));
            to.setHeader(HttpHeaders.RETRY_AFTER, Long.toString(seconds));
        }
        write(to, reason.status(), "not-run", reason.label(), reason.message());
    }

    /**
     * Writes the answer for a request that may or may not have run.
     *
     * @param to the answer to send
     * @param unknown the outcome
     * @throws IOException if the connection fails
     */
    static void writeUnknown(HttpServletResponse to, Outcome.Unknown unknown) throws IOException {
        boolean timeout =
                unknown.cause() == UnknownCause.ANSWER_TIMEOUT
                        || unknown.cause() == UnknownCause.NODE_SILENT;
        write(
                to,
                timeout ? GATEWAY_TIMEOUT : BAD_GATEWAY,
                "unknown",
                unknown.cause().label(),
                "the request may have run; look its result up before you send it again");
    }

    private static void write(
            HttpServletResponse to, int status, String outcome, String reason, String message)
            throws IOException {
        String body =
                "{\"outcome\":\"%s\",\"reason\":\"%s\",\"message\":\"%s\"}\n"
                        .formatted(outcome, reason, message);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        to.setStatus(status);
        to.setHeader(InternalHeaders.OUTCOME, outcome);
        to.setHeader(InternalHeaders.REASON, reason);
        to.setContentType("application/json");
        to.setContentLength(bytes.length);
        to.getOutputStream().write(bytes);
    }
}
