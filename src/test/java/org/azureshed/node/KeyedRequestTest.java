package org.azureshed.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.azureshed.idempotency.IdempotencyKey;
import org.azureshed.idempotency.KeyRange;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a keyed submission that runs twice when its caller retries it. */
class KeyedRequestTest {
    /**
     * Enough attempts for a lost request, whose key is in progress until its permit ends (at most
     * 15 s after the grant).
     */
    private static final int REPORT_ATTEMPTS = 400;

    private static final long REPORT_POLL_MILLIS = 50;

    private static FleetInProcess fleet;
    private static NodeSettings first;
    private static NodeSettings second;
    private static ScriptedTarget target;
    private static HttpClient client;

    @BeforeAll
    static void start() throws Exception {
        fleet = new FleetInProcess();
        first = fleet.startNode("first");
        second = fleet.startNode("second");
        target = new ScriptedTarget((head, socket) -> ScriptedTarget.ok(socket, "stored"));
        fleet.announce(second, "posting-0", "posting", target.port(), 4);
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        FleetInProcess.await(KeyedRequestTest::rangesAreOwned, "owners of the key ranges");
    }

    @AfterAll
    static void stop() throws Exception {
        client.close();
        target.close();
        fleet.close();
    }

    @BeforeEach
    void reset() {
        target.behave((head, socket) -> ScriptedTarget.ok(socket, "stored"));
        target.heads().clear();
    }

    /** Runs a request in each key range through each entry node, so both know all owners. */
    private static boolean rangesAreOwned() {
        try {
            for (int number = 0; number < KeyRange.COUNT; number++) {
                if (post(first, newKeyIn(number), "warm-up").statusCode() != 200
                        || post(second, newKeyIn(number), "warm-up").statusCode() != 200) {
                    return false;
                }
            }
            return true;
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String newKeyIn(int range) {
        while (true) {
            String key = newKey();
            if (KeyRange.of(IdempotencyKey.parse("", "stories", key).get()).number() == range) {
                return key;
            }
        }
    }

    @Test
    void secondSenderGetsTheFirstAnswer() throws Exception {
        String key = newKey();
        assertEquals("stored", post(first, key, "story").body());
        HttpResponse<String> again = postAfterReport(second, key, "story");
        assertEquals(200, again.statusCode());
        assertEquals("stored", again.body());
        assertEquals("true", again.headers().firstValue("Idempotency-Replayed").orElse(""));
        assertEquals(1, target.heads().size());
    }

    @Test
    void concurrentSendersStartTheWorkOnce() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        target.behave(
                (head, socket) -> {
                    release.await(10, TimeUnit.SECONDS);
                    return ScriptedTarget.ok(socket, "stored");
                });
        String key = newKey();
        CompletableFuture<HttpResponse<String>> running =
                client.sendAsync(
                        request(first, key, "story"), HttpResponse.BodyHandlers.ofString());
        FleetInProcess.await(() -> !target.heads().isEmpty(), "the first request at the target");
        for (NodeSettings entry : List.of(first, second)) {
            assertRefused(post(entry, key, "story"), 409, "key-in-progress");
        }
        release.countDown();
        assertEquals(200, running.get(10, TimeUnit.SECONDS).statusCode());
        assertEquals(1, target.heads().size());
    }

    @Test
    void unknownOutcomeIsNeverRunAgain() throws Exception {
        target.behave((head, socket) -> false);
        String key = newKey();
        assertEquals(502, post(first, key, "story").statusCode());
        target.behave((head, socket) -> ScriptedTarget.ok(socket, "stored"));
        assertRefused(postAfterReport(second, key, "story"), 409, "key-outcome-unknown");
        assertEquals(1, target.heads().size());
    }

    @Test
    void requestThatDidNotRunMayBeSentAgain() throws Exception {
        target.behave(
                (head, socket) -> {
                    ScriptedTarget.write(
                            socket,
                            "HTTP/1.1 503 Busy\r\nAzureshed-Shed: true\r\n"
                                    + "Content-Length: 0\r\n\r\n");
                    return true;
                });
        String key = newKey();
        assertRefused(post(first, key, "story"), 503, "target-shed");
        target.behave((head, socket) -> ScriptedTarget.ok(socket, "stored"));
        assertEquals(200, postAfterReport(second, key, "story").statusCode());
    }

    @Test
    void sameKeyWithOtherContentIsRefused() throws Exception {
        String key = newKey();
        assertEquals(200, post(first, key, "story").statusCode());
        assertRefused(postAfterReport(second, key, "another story"), 422, "key-reused");
        assertEquals(1, target.heads().size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"order-17", "6f1d0ad4-0c5b-4b0f-8f5a-111111111111"})
    void keyWithoutTimeIsRefused(String key) throws Exception {
        assertRefused(post(first, key, "story"), 400, "key-malformed");
        assertEquals(0, target.heads().size());
    }

    @Test
    void keysOfOtherOrganisationsAreIndependent() throws Exception {
        String key = newKey();
        assertEquals(200, post(first, key, "story").statusCode());
        HttpRequest other =
                HttpRequest.newBuilder(request(first, key, "story"), (name, value) -> true)
                        .header("X-Organisation", "festival")
                        .build();
        assertEquals(200, client.send(other, HttpResponse.BodyHandlers.ofString()).statusCode());
        assertEquals(2, target.heads().size());
    }

    private static void assertRefused(HttpResponse<String> answer, int status, String reason) {
        assertEquals(reason, answer.headers().firstValue("Azureshed-Reason").orElse(""));
        assertEquals(status, answer.statusCode(), answer.body());
        assertTrue(answer.body().contains("not-run"), answer.body());
    }

    private static HttpResponse<String> post(NodeSettings entry, String key, String body)
            throws IOException, InterruptedException {
        return client.send(request(entry, key, body), HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Retries while the key is in progress: the outcome is reported to the key's owner concurrently
     * with the answer to the caller, so a fast second request may arrive before the report.
     */
    private static HttpResponse<String> postAfterReport(NodeSettings entry, String key, String body)
            throws IOException, InterruptedException {
        for (int attempt = 0; attempt < REPORT_ATTEMPTS; attempt++) {
            HttpResponse<String> answer = post(entry, key, body);
            String reason = answer.headers().firstValue("Azureshed-Reason").orElse("");
            if (!reason.equals("key-in-progress")) {
                return answer;
            }
            TimeUnit.MILLISECONDS.sleep(REPORT_POLL_MILLIS);
        }
        throw new AssertionError("the outcome was not reported to the key's owner");
    }

    private static HttpRequest request(NodeSettings entry, String key, String body) {
        URI uri = FleetInProcess.entry(entry).resolve("/stories");
        return HttpRequest.newBuilder(uri)
                .timeout(Duration.ofSeconds(30))
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    /** A UUID of version 7 with the current time. */
    private static String newKey() {
        long random = ThreadLocalRandom.current().nextLong();
        long high = System.currentTimeMillis() << 16 | 0x7000L | random & 0xfffL;
        long low = 0x8000000000000000L | random >>> 2;
        return new UUID(high, low).toString();
    }
}
