package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.azureshed.platform.standin.TargetStandIn.Behaviour;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks whole nodes with answers that have no body, whatever their headers say. */
class AnswerWithoutBodyTest {
    private static final Pattern LENGTH = Pattern.compile("(?i)\ncontent-length: (\\d+)");

    /**
     * Guards against body bytes, or a changed length, of an answer without a body: the caller or
     * the entry side would read them as the beginning of the next answer.
     */
    @ParameterizedTest(name = "{0} {1}, {2}")
    @CsvSource({
        "HEAD, 200, Content-Length: 12, 12",
        "HEAD, 200, Content-Length: 0, 0",
        "HEAD, 200, Transfer-Encoding: chunked, ",
        "HEAD, 200, X-None: 1, ",
        "HEAD, 404, Content-Length: 12, 12",
        "HEAD, 404, Transfer-Encoding: chunked, ",
        "HEAD, 204, X-None: 1, ",
        "HEAD, 304, Content-Length: 12, 12",
        "GET, 204, X-None: 1, ",
        "GET, 204, Content-Length: 0, ",
        "GET, 304, X-None: 1, ",
        "GET, 304, Content-Length: 12, 12",
        "GET, 205, Content-Length: 0, 0",
        "POST, 204, X-None: 1, ",
    })
    void answerWithoutBodyLeavesConnectionsUsable(
            String method, int status, String framing, String length) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            String bodiless = answer(status, framing, "");
            String own = answer(200, "Content-Length: 3", "own");
            fleet.targets
                    .getFirst()
                    .behaviour(
                            request ->
                                    new Behaviour.Raw(
                                            request.requestId().equals("first") ? bodiless : own));
            String received = callTwice(fleet, method);
            int end = received.indexOf("\r\n\r\n") + 4;
            String head = received.substring(0, end);
            String next = received.substring(end);
            assertTrue(head.startsWith("HTTP/1.1 " + status + ' '), received + fleet.log());
            Matcher matcher = LENGTH.matcher(head);
            assertEquals(
                    Optional.ofNullable(length),
                    matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty(),
                    received);
            assertTrue(next.startsWith("HTTP/1.1 200 "), received + fleet.log());
            assertTrue(next.endsWith("\r\n\r\nown"), received);
            SidecarFleet.await(
                    "the connection to the target is used again",
                    () -> fleet.log().contains("conn_requests=2"));
        }
    }

    private static String answer(int status, String framing, String body) {
        return "HTTP/1.1 "
                + status
                + " Status\r\nX-Azureshed-Request-Id: ID\r\nX-Azureshed-Response-Signature: s\r\n"
                + framing
                + "\r\n\r\n"
                + body;
    }

    /** Sends two requests on one connection and returns all bytes that come back. */
    private static String callTwice(SidecarFleet fleet, String method) throws Exception {
        try (Socket socket = new Socket(fleet.ip(0), SidecarFleet.ENTRY_PORT)) {
            socket.setSoTimeout(10_000);
            String requests =
                    request(method, "first", "keep-alive") + request("GET", "second", "close");
            socket.getOutputStream().write(requests.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static String request(String method, String id, String connection) {
        return method
                + " /read/a HTTP/1.1\r\nHost: shop.example\r\nX-Azureshed-Request-Id: "
                + id
                + "\r\nX-Azureshed-Deadline-Ms: 3000\r\nConnection: "
                + connection
                + (method.equals("POST") ? "\r\nContent-Length: 0" : "")
                + "\r\n\r\n";
    }
}
