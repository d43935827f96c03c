package org.azureshed.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests that node and target could parse differently (request smuggling), and
 * against too many or too large headers.
 */
class HostileInputTest {
    private static FleetInProcess fleet;
    private static NodeSettings node;
    private static ScriptedTarget target;

    @BeforeAll
    static void start() throws Exception {
        fleet = new FleetInProcess();
        node = fleet.startNode("a");
        target = new ScriptedTarget((head, socket) -> ScriptedTarget.ok(socket, "fine"));
        fleet.announce(node, "reading-0", "reading", target.port(), 4);
    }

    @AfterAll
    static void stop() throws Exception {
        target.close();
        fleet.close();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            value = {
                "length and chunked|Content-Length: 3~Transfer-Encoding: chunked|400|bad-framing",
                "two lengths|Content-Length: 3~Content-Length: 4|400|bad-framing",
                "list of lengths|Content-Length: 3, 4|400|bad-framing",
                "negative length|Content-Length: -1|400|bad-framing",
                "unknown coding|Transfer-Encoding: gzip, chunked|400|bad-framing",
                "doubled coding|Transfer-Encoding: chunked~Transfer-Encoding: chunked|400|bad-framing",
                "space before colon|X-A : 1|400|bad-framing",
                "folded header|X-A: 1~ folded|400|bad-framing",
                "huge body|Content-Length: 9999999999999|413|body-limit",
            })
    void refusesAmbiguousHead(String name, String headers, int status, String reason)
            throws IOException {
        int before = target.heads().size();
        String answer = exchange(head("GET", "/chapters/1") + headers.replace("~", "\r\n"));
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
        assertTrue(answer.contains("Azureshed-Reason: " + reason + "\r\n"), answer);
        assertTrue(answer.contains("Azureshed-Outcome: not-run\r\n"), answer);
        assertEquals(before, target.heads().size(), "the target must not see the request");
    }

    @ParameterizedTest(name = "{0} headers of {1} bytes")
    @CsvSource({"150, 10", "10, 4000"})
    void refusesTooManyOrTooLargeHeaders(int count, int size) throws IOException {
        StringBuilder request = new StringBuilder(head("GET", "/chapters/1"));
        for (int i = 0; i < count; i++) {
            request.append("X-").append(i).append(": ").append("v".repeat(size)).append("\r\n");
        }
        String answer = exchange(request.append("X-End: 1").toString());
        assertTrue(answer.startsWith("HTTP/1.1 431 "), answer);
        assertTrue(answer.contains("Azureshed-Reason: header-limit\r\n"), answer);
    }

    @Test
    void removesInternalAndConnectionHeadersOfCallers() throws IOException {
        String answer =
                exchange(
                        head("GET", "/chapters/1")
                                + "Azureshed-Start-By: 1\r\nazureshed-secret: 1\r\n"
                                + "X-Private: 1\r\nX-Kept: 1\r\nTE: trailers\r\n"
                                + "Connection: close, X-Private");
        assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        String seen = target.heads().getLast();
        assertTrue(seen.contains("X-Kept: 1"), seen);
        assertFalse(seen.contains("X-Private"), seen);
        assertFalse(seen.toLowerCase(java.util.Locale.ROOT).contains("azureshed-secret"), seen);
        assertFalse(seen.contains("Azureshed-Start-By:"), seen);
        assertFalse(seen.contains("TE: trailers"), seen);
        assertFalse(answer.contains("Azureshed-Load"), answer);
    }

    @Test
    void keepsEncodedPathAndQueryAsSent() throws IOException {
        String path = "/chapters/a%20b/%C3%A9?q=%2F&r=a+b&&x";
        String answer = exchange(head("GET", path) + "Connection: close");
        assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        assertTrue(target.heads().getLast().startsWith("GET " + path + " HTTP/1.1\r\n"));
    }

    private static String head(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: archive.example\r\n";
    }

    /**
     * Sends a raw request head, adding the end of its last header line, and reads the whole answer.
     */
    private static String exchange(String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", node.entryPort())) {
            socket.setSoTimeout(10_000);
            ScriptedTarget.write(socket, request + "\r\n\r\n");
            socket.shutdownOutput();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
