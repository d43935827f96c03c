package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.platform.standin.TargetStandIn.Behaviour;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks callers of a node that is told to stop and whose grace period is 6 s. Work that has begun
 * is not cut off, and what cannot end in time is refused without having run.
 */
class PlannedStopTest {
    /** Requests sent up to this time after the signal may be cut off at the end of the stop. */
    private static final long EXCUSED_MILLIS = 3_000;

    private static final long STOP_MILLIS = 5_000;

    private record Outcome(String id, long sentMillis, int status) {}

    /**
     * Load pattern: a stopping node is the only one of its zone, so callers go on. Guards against
     * requests that are taken late and answered by the node while their target still works.
     */
    @Test
    void requestsLateInTheGraceEndOrAreRefused() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop", "shop", "shop");
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            fleet.targets.forEach(
                    target -> target.behaviour(request -> new Behaviour.Answer(200, 2_200, "ok")));
            List<Outcome> outcomes = new CopyOnWriteArrayList<>();
            List<Future<?>> calls = new ArrayList<>();
            final Future<?> stop = callers.submit(() -> fleet.nodes.getFirst().stop());
            long start = System.nanoTime();
            while (millisSince(start) < STOP_MILLIS - 500) {
                String id = "late-" + calls.size();
                long sent = millisSince(start);
                calls.add(
                        callers.submit(
                                () -> outcomes.add(new Outcome(id, sent, status(fleet, id)))));
                TimeUnit.MILLISECONDS.sleep(200);
            }
            stop.get();
            fleet.nodes.getFirst().close();
            for (Future<?> call : calls) {
                call.get();
            }
            List<Outcome> cut =
                    outcomes.stream()
                            .filter(outcome -> outcome.sentMillis() > EXCUSED_MILLIS)
                            .filter(outcome -> outcome.status() != 200)
                            .filter(outcome -> fleet.executions(outcome.id()) > 0)
                            .toList();
            assertEquals(List.of(), cut, fleet::log);
            assertTrue(outcomes.stream().anyMatch(outcome -> outcome.status() == 200));
            assertTrue(
                    outcomes.stream()
                            .filter(outcome -> outcome.sentMillis() > EXCUSED_MILLIS)
                            .anyMatch(outcome -> outcome.status() == 503));
        }
    }

    /** Returns the status of a request, or -1 if the connection was refused or closed. */
    private static int status(SidecarFleet fleet, String id) throws InterruptedException {
        try {
            return fleet.request(0, "POST", "/long/a", id).statusCode();
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception closed) {
            return -1;
        }
    }

    /**
     * Guards against a stopping node that turns away the short calls which its target makes for the
     * work that the stop waits for.
     */
    @Test
    void callThatEndsInTimeIsServedUntilTheLastRequestHasEnded() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop");
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            fleet.targets.forEach(
                    target ->
                            target.behaviour(
                                    request ->
                                            new Behaviour.Answer(
                                                    200,
                                                    request.line().contains("/long/") ? 4_400 : 0,
                                                    "ok")));
            Future<Integer> work = callers.submit(() -> status(fleet, "work"));
            TimeUnit.MILLISECONDS.sleep(100);
            final Future<?> stop = callers.submit(() -> fleet.nodes.getFirst().stop());
            TimeUnit.MILLISECONDS.sleep(4_000);
            HttpResponse<String> call = fleet.request(0, "POST", "/short/a", "call");
            assertEquals(200, call.statusCode(), fleet::log);
            assertEquals(200, work.get(), fleet::log);
            stop.get();
        }
    }

    /** Guards against a request whose body ends late in the grace and that is cut off then. */
    @ParameterizedTest(name = "body complete {0} ms after the signal")
    @CsvSource({"1000, HTTP/1.1 200, 1", "4200, HTTP/1.1 503, 0"})
    void requestWhoseBodyEndsLateIsRefused(long millis, String status, int executions)
            throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop");
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
                Socket caller = new Socket(fleet.ip(0), SidecarFleet.ENTRY_PORT)) {
            String head =
                    "POST /long/a HTTP/1.1\r\nHost: "
                            + ProtocolRequests.HOST
                            + "\r\nX-Azureshed-Request-Id: body\r\nX-Azureshed-Deadline-Ms: 20000"
                            + "\r\nContent-Length: 1\r\n\r\n";
            final Future<?> stop = callers.submit(() -> fleet.nodes.getFirst().stop());
            caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            TimeUnit.MILLISECONDS.sleep(millis);
            caller.getOutputStream().write('x');
            byte[] start = caller.getInputStream().readNBytes(status.length());
            assertEquals(status, new String(start, StandardCharsets.US_ASCII), fleet::log);
            stop.get();
            assertEquals(executions, fleet.executions("body"));
        }
    }

    /**
     * Guards against answers whose rest is dropped, because their caller reads slowly and the node
     * closes the connection as idle.
     */
    @Test
    void answersAreCompletedForASlowReader() throws Exception {
        int answers = 24;
        String body = "x".repeat(1_000_000);
        try (SidecarFleet fleet = new SidecarFleet("shop");
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
                Socket caller = new Socket(fleet.ip(0), SidecarFleet.ENTRY_PORT)) {
            fleet.targets.getFirst().behaviour(request -> new Behaviour.Answer(200, 0, body));
            for (int i = 0; i < answers; i++) {
                String head =
                        "GET /long/a HTTP/1.1\r\nHost: "
                                + ProtocolRequests.HOST
                                + "\r\nX-Azureshed-Request-Id: slow-"
                                + i
                                + "\r\nX-Azureshed-Deadline-Ms: 20000\r\n\r\n";
                caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            }
            SidecarFleet.await(
                    "the last request runs",
                    () -> fleet.targets.getFirst().executions().size() == answers);
            TimeUnit.MILLISECONDS.sleep(300);
            final Future<?> stop = callers.submit(() -> fleet.nodes.getFirst().stop());
            TimeUnit.MILLISECONDS.sleep(3_000);
            caller.setSoTimeout(3_000);
            long received = readToEnd(caller);
            assertTrue(received > answers * body.length(), () -> received + " bytes");
            stop.get();
        }
    }

    /**
     * Guards against a download, larger than a node holds, that ends early because its entry node
     * (0) or the node beside its target (1) stops while a slow caller reads.
     */
    @ParameterizedTest(name = "node {0} stops")
    @ValueSource(ints = {0, 1})
    void downloadIsCompletedOverAStop(int stopped) throws Exception {
        String body = "x".repeat(48_000_000);
        try (SidecarFleet fleet = new SidecarFleet("other", "shop");
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
                Socket caller = new Socket()) {
            fleet.targets.forEach(
                    target -> target.behaviour(request -> new Behaviour.Answer(200, 0, body)));
            caller.setReceiveBufferSize(32 << 10);
            caller.connect(new InetSocketAddress(fleet.ip(0), SidecarFleet.ENTRY_PORT));
            caller.setSoTimeout(5_000);
            String head =
                    "GET /long/a HTTP/1.1\r\nHost: "
                            + ProtocolRequests.HOST
                            + "\r\nX-Azureshed-Request-Id: download\r\nX-Azureshed-Deadline-Ms: 20000"
                            + "\r\nConnection: close\r\n\r\n";
            caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            InputStream in = caller.getInputStream();
            long received = in.readNBytes(100_000).length;
            final Future<?> stop = callers.submit(() -> fleet.nodes.get(stopped).stop());
            // Three seconds, so that the stop waits for the download.
            for (int i = 0; i < 30; i++) {
                // Later the rest may have left the node and wait in buffers of sockets.
                assertFalse(i < 15 && stop.isDone(), fleet::log);
                byte[] part = in.readNBytes(body.length() / 40);
                received += part.length;
                TimeUnit.MILLISECONDS.sleep(100);
            }
            byte[] last = in.readAllBytes();
            received += last.length;
            long all = received;
            assertTrue(all > body.length(), () -> all + " bytes\n" + fleet.log());
            String end = new String(last, StandardCharsets.US_ASCII);
            assertTrue(end.endsWith("\r\n0\r\n\r\n"), fleet::log);
            stop.get();
            String underWay =
                    "node=node-" + stopped + (stopped == 0 ? " active=1" : " active=0 hosted=1");
            assertTrue(fleet.log().contains("event=stopping " + underWay), fleet::log);
        }
    }

    private static long readToEnd(Socket caller) throws IOException {
        byte[] buffer = new byte[64 << 10];
        long received = 0;
        for (int read = caller.getInputStream().read(buffer);
                read >= 0;
                read = caller.getInputStream().read(buffer)) {
            received += read;
        }
        return received;
    }

    /** Guards against a stopping node whose host side takes work for its target and cuts it off. */
    @Test
    void hostSideOfAStoppingNodeTakesNoNewWork() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("other", "shop", "shop");
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            fleet.targets.forEach(
                    target -> target.behaviour(request -> new Behaviour.Answer(200, 1_000, "ok")));
            final Future<?> stop = callers.submit(() -> fleet.nodes.get(1).stop());
            TimeUnit.MILLISECONDS.sleep(200);
            int before = fleet.targets.get(1).executions().size();
            List<Future<Integer>> calls = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                String id = "id-" + i;
                calls.add(callers.submit(() -> status(fleet, id)));
                TimeUnit.MILLISECONDS.sleep(300);
            }
            for (Future<Integer> call : calls) {
                assertEquals(200, call.get(), fleet::log);
            }
            assertEquals(before, fleet.targets.get(1).executions().size());
            stop.get();
        }
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
