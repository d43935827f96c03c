package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.PooledByteBufAllocator;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.platform.standin.TargetStandIn.Behaviour;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks whole nodes while a target or a caller sends bytes without end. */
class EndlessBytesTest {
    /** Time limit of the route {@code /short/}. */
    private static final long ROUTE_MILLIS = 700;

    /** The slot must be free within this time after the end of the request. */
    private static final long RELEASE_MILLIS = 1_000;

    /** Far less than a target can send within the route's time limit. */
    private static final long MAX_GROWTH_BYTES = 48L << 20;

    private static final String GENUINE =
            "X-Azureshed-Request-Id: ID\r\nX-Azureshed-Response-Signature: s.ID\r\n";
    private static final String BLOCK = "x".repeat(8_192);

    /** A response without end, and the statuses that tell its caller the truth. */
    private record Case(String name, String prefix, String repeated, List<Integer> statuses) {}

    static Stream<Arguments> cases() {
        List<Integer> failed = List.of(502, 504);
        List<Integer> failedOrCut = List.of(200, 502, 504);
        return Stream.of(
                        new Case("interim", "", "HTTP/1.1 102 Processing\r\n\r\n", failed),
                        new Case("header lines", "HTTP/1.1 200 OK\r\n", "a: b\r\n", failed),
                        new Case("one header line", "HTTP/1.1 200 OK\r\na: ", "b", failed),
                        new Case("status line", "HTTP/1.1 200 ", "O", failed),
                        new Case("no response", "", "\u0001", failed),
                        new Case(
                                "body with a length",
                                "HTTP/1.1 200 OK\r\n"
                                        + GENUINE
                                        + "Content-Length: 9000000000000000000\r\n\r\n",
                                BLOCK,
                                failedOrCut),
                        new Case(
                                "body until close",
                                "HTTP/1.1 200 OK\r\n" + GENUINE + "\r\n",
                                BLOCK,
                                failedOrCut),
                        new Case(
                                "chunks",
                                "HTTP/1.1 200 OK\r\n"
                                        + GENUINE
                                        + "Transfer-Encoding: chunked\r\n\r\n",
                                "2000\r\n" + BLOCK + "\r\n",
                                failedOrCut),
                        new Case(
                                "chunk size",
                                "HTTP/1.1 200 OK\r\n"
                                        + GENUINE
                                        + "Transfer-Encoding: chunked\r\n\r\n",
                                "0",
                                failed),
                        new Case(
                                "body of an earlier request",
                                "HTTP/1.1 200 OK\r\nX-Azureshed-Request-Id: other\r\n"
                                        + "X-Azureshed-Response-Signature: s\r\n\r\n",
                                BLOCK,
                                failed),
                        new Case(
                                "after a complete response",
                                "HTTP/1.1 200 OK\r\n" + GENUINE + "Content-Length: 2\r\n\r\nok",
                                "x",
                                List.of(200)))
                .flatMap(EndlessBytesTest::fastAndSlow);
    }

    static Stream<Arguments> refusals() {
        List<Integer> refused = List.of(503);
        return Stream.of(
                        new Case(
                                "refusal with a length",
                                "HTTP/1.1 503 Full\r\nX-Azureshed-Not-Executed: 1\r\n"
                                        + "Content-Length: 9000000000000000000\r\n\r\n",
                                BLOCK,
                                refused),
                        new Case(
                                "refusal with an id and a length",
                                "HTTP/1.1 503 Full\r\nX-Azureshed-Not-Executed: 1\r\n"
                                        + "X-Azureshed-Request-Id: ID\r\n"
                                        + "Content-Length: 9000000000000000000\r\n\r\n",
                                BLOCK,
                                refused),
                        new Case(
                                "refusal with an id and chunks",
                                "HTTP/1.1 429 Full\r\nX-Azureshed-Not-Executed: 1\r\n"
                                        + "X-Azureshed-Request-Id: ID\r\n"
                                        + "Transfer-Encoding: chunked\r\n\r\n",
                                "1\r\nx\r\n",
                                refused),
                        new Case(
                                "misdirected until close",
                                "HTTP/1.1 421 Misdirected\r\nX-Azureshed-Request-Id: ID\r\n\r\n",
                                BLOCK,
                                refused))
                .flatMap(EndlessBytesTest::fastAndSlow);
    }

    private static Stream<Arguments> fastAndSlow(Case endless) {
        return Stream.of(0L, 1_000L)
                .map(
                        pause ->
                                Arguments.of(
                                        endless.name(),
                                        new Behaviour.Endless(
                                                endless.prefix(), endless.repeated(), pause),
                                        endless.statuses()));
    }

    /**
     * Guards against a response without end that occupies a slot beyond its time limit, fills the
     * memory of a node, or is taken for a complete one.
     */
    @ParameterizedTest(name = "{0}: {1}")
    @MethodSource({"cases", "refusals"})
    void endlessResponseEndsInTime(String name, Behaviour.Endless endless, List<Integer> statuses)
            throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            fleet.targets.getFirst().behaviour(request -> endless);
            long memory = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
            long start = System.nanoTime();
            Received received = call(fleet, "/short/a", "id-1");
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            assertTrue(millis < ROUTE_MILLIS + RELEASE_MILLIS, millis + " ms\n" + fleet.log());
            assertTrue(statuses.contains(received.status()), received + "\n" + fleet.log());
            assertEquals(name.equals("after a complete response"), received.complete(), fleet::log);
            assertEquals(1, fleet.executions("id-1"));
            // A target that pauses between two bytes notices the close at its second next byte.
            long noticeMillis = RELEASE_MILLIS + 3 * endless.pauseMillis();
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(noticeMillis);
            while (fleet.targets.getFirst().endlessResponses() > 0) {
                assertTrue(System.nanoTime() < end, "the target still sends\n" + fleet.log());
                TimeUnit.MILLISECONDS.sleep(5);
            }
            long grown = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory() - memory;
            assertTrue(grown < MAX_GROWTH_BYTES, grown + " bytes more");
            fleet.targets.getFirst().behaviour(request -> Behaviour.answer());
            SidecarFleet.await("the target serves again", () -> served(fleet, "/short/b", "id-2"));
        }
    }

    /** Guards against a request head that arrives byte by byte and keeps a connection for long. */
    @Test
    void trickledHeadIsEndedByTheHeaderTimeout() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop");
                Socket caller = new Socket(fleet.ip(0), SidecarFleet.ENTRY_PORT)) {
            caller.setSoTimeout(100);
            long start = System.nanoTime();
            String head = "GET /read/a HTTP/1.1\r\nHost: shop.example\r\nX-Long: ";
            caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            String status = "";
            // The header timeout of the configuration is 3 s.
            while (status.isEmpty()) {
                assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(5), fleet::log);
                caller.getOutputStream().write('x');
                try {
                    status = new String(caller.getInputStream().readNBytes(12));
                } catch (java.net.SocketTimeoutException notYet) {
                    // The next byte follows.
                }
            }
            assertEquals("HTTP/1.1 408", status);
        }
    }

    /** Guards against a body without end, of a caller or of another node, that fills the memory. */
    @ParameterizedTest
    @CsvSource({
        // A caller's body is limited to 1 MiB by the configuration.
        "18304, '', HTTP/1.1 413",
        // A node that offers a request has 600 ms to complete the body of an admitted one.
        "18300, 't=i-0;m=QUEUE;o=FIRST;p=1;r=1;a=0;d=0;u=900;l=900;b=1', HTTP/1.1 100",
        // An offer that is refused gets its refusal, whatever follows.
        "18300, 't=none;m=QUEUE;o=FIRST;p=1;r=1;a=0;d=0;u=900;l=900;b=1', HTTP/1.1 503",
        "18300, 'no offer', ''",
    })
    void endlessBodyIsEnded(int port, String offer, String status) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop");
                Socket sender = new Socket(fleet.ip(0), port)) {
            long memory = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
            String head =
                    "POST /write/a HTTP/1.1\r\nHost: "
                            + ProtocolRequests.HOST
                            + "\r\nAzureshed-Offer: "
                            + offer
                            + "\r\nTransfer-Encoding: chunked\r\n\r\n";
            byte[] chunk = ("2000\r\n" + BLOCK + "\r\n").getBytes(StandardCharsets.US_ASCII);
            sender.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            Thread writer = Thread.startVirtualThread(() -> writeEndlessly(sender, chunk));
            byte[] answer = readUntilReset(sender, status.length());
            assertEquals(status, new String(answer, StandardCharsets.US_ASCII), fleet::log);
            TimeUnit.MILLISECONDS.sleep(RELEASE_MILLIS);
            long grown = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory() - memory;
            assertTrue(grown < 2 * MAX_GROWTH_BYTES, grown + " bytes more");
            assertEquals(0, fleet.targets.getFirst().executions().size());
            sender.close();
            writer.join();
            SidecarFleet.await("the target serves", () -> served(fleet, "/short/b", "id-2"));
        }
    }

    private static byte[] readUntilReset(Socket socket, int length) {
        try {
            return socket.getInputStream().readNBytes(length);
        } catch (IOException reset) {
            return new byte[0];
        }
    }

    private static void writeEndlessly(Socket socket, byte[] chunk) {
        try {
            while (true) {
                socket.getOutputStream().write(chunk);
            }
        } catch (IOException closed) {
            // The node or the test closed the connection.
        }
    }

    private record Received(int status, boolean complete, long bytes) {}

    private static boolean served(SidecarFleet fleet, String path, String id) {
        try {
            return call(fleet, path, id).complete();
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a request and reads, without keeping it, what comes until the connection is closed. */
    private static Received call(SidecarFleet fleet, String path, String id) throws IOException {
        try (Socket caller = new Socket(fleet.ip(0), SidecarFleet.ENTRY_PORT)) {
            String request =
                    "POST "
                            + path
                            + " HTTP/1.1\r\nHost: "
                            + ProtocolRequests.HOST
                            + "\r\nX-Azureshed-Request-Id: "
                            + id
                            + "\r\nX-Azureshed-Deadline-Ms: 5000\r\nConnection: close\r\n"
                            + "Content-Length: 1\r\n\r\nx";
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = caller.getInputStream();
            String status = new String(in.readNBytes(12), StandardCharsets.US_ASCII);
            byte[] buffer = new byte[64 << 10];
            String tail = "";
            long bytes = 12;
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                bytes += read;
                tail = new String(buffer, Math.max(0, read - 2), Math.min(2, read));
            }
            return new Received(Integer.parseInt(status.substring(9)), tail.equals("ok"), bytes);
        }
    }
}
