package org.azureshed.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against wrong outcomes when targets violate the protocol: a request reported as not run
 * must not have been run by the target, and one of unknown outcome must not be retried unless it is
 * idempotent.
 */
class OutcomeTest {
    private static final int REFUSED_PORT = 1;

    private static FleetInProcess fleet;
    private static NodeSettings entry;
    private static ScriptedTarget reading;
    private static ScriptedTarget posting;
    private static HttpClient client;

    @BeforeAll
    static void start() throws Exception {
        fleet = new FleetInProcess();
        entry = fleet.startNode("entry");
        NodeSettings host = fleet.startNode("host");
        reading = new ScriptedTarget((head, socket) -> ScriptedTarget.ok(socket, "page"));
        posting = new ScriptedTarget((head, socket) -> ScriptedTarget.ok(socket, "stored"));
        fleet.announce(host, "reading-0", "reading", reading.port(), 4);
        fleet.announce(host, "posting-0", "posting", posting.port(), 4);
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    }

    @AfterAll
    static void stop() throws Exception {
        client.close();
        reading.close();
        posting.close();
        fleet.close();
    }

    @BeforeEach
    void reset() {
        reading.heads().clear();
        posting.heads().clear();
    }

    @Test
    void connectionLostAfterRequestIsUnknownAndNotRepeated() throws Exception {
        posting.behave((head, socket) -> false);
        HttpResponse<String> answer = post();
        assertOutcome(answer, 502, "unknown", "target-connection-lost");
        assertEquals(1, posting.heads().size(), "a submission must not be sent twice");
    }

    @Test
    void reusedConnectionClosedByPeerIsNotRepeatedSilently() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        posting.behave(
                (head, socket) ->
                        requests.incrementAndGet() == 1 && ScriptedTarget.ok(socket, "stored"));
        assertEquals(200, post().statusCode());
        HttpResponse<String> second = post();
        assertOutcome(second, 502, "unknown", "target-connection-lost");
        assertEquals(2, posting.heads().size());
    }

    @Test
    void silentTargetIsUnknownAfterDeadline() throws Exception {
        posting.behave((head, socket) -> posting.awaitPeerClose(socket));
        int closed = posting.closedByPeer();
        HttpResponse<String> answer = post();
        assertOutcome(answer, 504, "unknown", "answer-timeout");
        assertEquals(1, posting.heads().size());
        FleetInProcess.await(() -> posting.closedByPeer() > closed, "cancellation at the target");
    }

    @Test
    void shedRequestIsNotRun() throws Exception {
        posting.behave(
                (head, socket) -> {
                    ScriptedTarget.write(
                            socket,
                            "HTTP/1.1 503 Busy\r\nAzureshed-Shed: true\r\n"
                                    + "Content-Length: 0\r\n\r\n");
                    return true;
                });
        HttpResponse<String> answer = post();
        assertOutcome(answer, 503, "not-run", "target-shed");
        assertTrue(answer.headers().firstValue("Retry-After").isPresent());
    }

    @Test
    void plainServiceUnavailableIsAnAnswer() throws Exception {
        posting.behave(
                (head, socket) -> {
                    ScriptedTarget.write(
                            socket, "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno");
                    return true;
                });
        HttpResponse<String> answer = post();
        assertEquals(503, answer.statusCode());
        assertEquals("no", answer.body());
        assertFalse(answer.headers().firstValue("Azureshed-Outcome").isPresent());
        assertEquals(1, posting.heads().size());
    }

    @Test
    void answerOfAnotherExchangeIsDroppedAndItsConnectionClosed() throws Exception {
        posting.behave(
                (head, socket) -> {
                    ScriptedTarget.write(
                            socket,
                            "HTTP/1.1 200 OK\r\nAzureshed-Exchange: other-1\r\n"
                                    + "Content-Length: 6\r\n\r\nsecret");
                    return posting.awaitPeerClose(socket);
                });
        int closed = posting.closedByPeer();
        HttpResponse<String> answer = post();
        assertOutcome(answer, 502, "unknown", "exchange-mismatch");
        assertFalse(answer.body().contains("secret"));
        FleetInProcess.await(() -> posting.closedByPeer() > closed, "close of the connection");
    }

    @ParameterizedTest
    @ValueSource(ints = {301, 302, 307, 401, 407, 417})
    void redirectsAndChallengesReachTheCallerUnchanged(int status) throws Exception {
        posting.behave(
                (head, socket) -> {
                    ScriptedTarget.write(
                            socket,
                            "HTTP/1.1 %d X\r\nLocation: /elsewhere\r\nWWW-Authenticate: Basic\r\n"
                                            .formatted(status)
                                    + "Content-Length: 0\r\n\r\n");
                    return true;
                });
        HttpResponse<String> answer = post();
        assertEquals(status, answer.statusCode());
        assertEquals(1, posting.heads().size(), "the HTTP client must not send a second request");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 100\r\n\r\npart",
                "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
            })
    void truncatedAnswerAbortsTheCallersConnection(String rest) throws Exception {
        reading.behave(
                (head, socket) -> {
                    ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\n" + rest);
                    return false;
                });
        assertThrows(IOException.class, OutcomeTest::get);
        assertEquals(1, reading.heads().size());
    }

    @Test
    void idempotentRequestIsRepeatedOnlyOnOtherTargets() throws Exception {
        reading.behave((head, socket) -> false);
        HttpResponse<String> answer = get();
        assertOutcome(answer, 502, "unknown", "target-connection-lost");
        assertEquals(1, reading.heads().size(), "the service has no other target to retry on");
    }

    @Test
    void unreachableTargetIsNotRun() throws Exception {
        try (FleetInProcess other = new FleetInProcess()) {
            NodeSettings node = other.startNode("single");
            other.announce(node, "posting-9", "posting", REFUSED_PORT, 1);
            HttpResponse<String> answer = post(node);
            assertOutcome(answer, 503, "not-run", "target-unreachable");
        }
    }

    @Test
    void callerThatGoesAwayCancelsItsWork() throws Exception {
        reading.behave((head, socket) -> reading.awaitPeerClose(socket));
        int closed = reading.closedByPeer();
        try (Socket socket = new Socket("127.0.0.1", entry.entryPort())) {
            ScriptedTarget.write(socket, "GET /exports/1 HTTP/1.1\r\nHost: a\r\n\r\n");
            FleetInProcess.await(() -> !reading.heads().isEmpty(), "request at the target");
        }
        FleetInProcess.await(() -> reading.closedByPeer() > closed, "cancellation at the target");
    }

    @Test
    void slowBodyHoldsNoSlot() throws Exception {
        posting.behave((head, socket) -> ScriptedTarget.ok(socket, "stored"));
        try (Socket slow = new Socket("127.0.0.1", entry.entryPort())) {
            ScriptedTarget.write(
                    slow, "POST /stories HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nx");
            assertEquals(200, post().statusCode());
            assertEquals(1, posting.heads().size(), "the incomplete request must not be sent");
        }
    }

    private static HttpResponse<String> post() throws Exception {
        return post(entry);
    }

    private static HttpResponse<String> post(NodeSettings node) throws Exception {
        return send(node, "/stories", HttpRequest.BodyPublishers.ofString("story"));
    }

    private static HttpResponse<String> get() throws Exception {
        return send(entry, "/chapters/1", null);
    }

    private static HttpResponse<String> send(
            NodeSettings node, String path, HttpRequest.BodyPublisher body) throws Exception {
        URI uri = FleetInProcess.entry(node).resolve(path);
        HttpRequest.Builder request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(30));
        if (body != null) {
            request.POST(body);
        }
        return client.send(
                request.build(), HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
    }

    private static void assertOutcome(
            HttpResponse<String> answer, int status, String outcome, String reason) {
        assertEquals(status, answer.statusCode(), answer.body());
        assertEquals(outcome, answer.headers().firstValue("Azureshed-Outcome").orElse(""));
        assertEquals(reason, answer.headers().firstValue("Azureshed-Reason").orElse(""));
    }
}
