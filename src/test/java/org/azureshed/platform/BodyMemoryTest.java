package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.platform.standin.TargetStandIn.Behaviour;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks nodes whose memory for bodies is small: what does not fit is refused without having run,
 * and the memory is free again afterwards.
 */
class BodyMemoryTest {
    /** Each side of a node may hold half of it. */
    private static final int MEMORY_BYTES = 4 << 20;

    /** Half of it is less than the largest body that the configuration allows, 1 MB. */
    private static final int LITTLE_MEMORY_BYTES = 1 << 20;

    private static final int BODY_BYTES = 600 << 10;

    /** In which a heartbeat reaches the other nodes. */
    private static final long SPREAD_MILLIS = 1_500;

    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d+)");
    private static final Pattern HELD =
            Pattern.compile("azureshed_body_memory_bytes\\{side=\"(\\w+)\"} (\\S+)");

    /** An upload on its own connection; its answer ends the connection. */
    private static String upload(SidecarFleet fleet, int node, String id, boolean chunked)
            throws IOException {
        try (Socket caller = new Socket(fleet.ip(node), SidecarFleet.ENTRY_PORT)) {
            caller.setSoTimeout(8_000);
            write(caller, head(id, chunked ? "Transfer-Encoding: chunked" : length(BODY_BYTES)));
            write(caller, (chunked ? Integer.toHexString(BODY_BYTES) + "\r\n" : ""));
            write(caller, body(BODY_BYTES));
            write(caller, chunked ? "\r\n0\r\n\r\n" : "");
            return readToEnd(caller);
        }
    }

    private static String head(String id, String framing) {
        return head(id, framing, "close");
    }

    private static String head(String id, String framing, String connection) {
        return "POST /long/a HTTP/1.1\r\nHost: "
                + ProtocolRequests.HOST
                + "\r\nX-Azureshed-Request-Id: "
                + id
                + "\r\nX-Azureshed-Deadline-Ms: 5000\r\nConnection: "
                + connection
                + "\r\n"
                + framing
                + "\r\n\r\n";
    }

    private static String length(int bytes) {
        return "Content-Length: " + bytes;
    }

    private static String body(int bytes) {
        return "x".repeat(bytes);
    }

    private static void write(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readToEnd(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private static List<Integer> statuses(String answers) {
        return STATUS.matcher(answers)
                .results()
                .map(found -> Integer.valueOf(found.group(1)))
                .toList();
    }

    /** Sends uploads at the same time, in turn to each of the entry nodes; returns the answers. */
    private static List<String> uploads(
            SidecarFleet fleet, int count, int entryNodes, boolean chunked) throws Exception {
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<String>> calls = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String id = "up-" + i;
                int node = i % entryNodes;
                calls.add(callers.submit(() -> upload(fleet, node, id, chunked)));
            }
            List<String> answers = new ArrayList<>();
            for (Future<String> call : calls) {
                answers.add(call.get());
            }
            return answers;
        }
    }

    /**
     * Without recent successes the host side would use two slots only, and after much shorter ones
     * it would take a target that works on an upload for a mute one.
     */
    private static void warmUp(SidecarFleet fleet, long runMillis) throws Exception {
        fleet.targets.forEach(
                target -> target.behaviour(request -> new Behaviour.Answer(200, runMillis, "ok")));
        for (int i = 0; i < 6; i++) {
            assertEquals(200, fleet.request(0, "POST", "/write/a", "warm-" + i).statusCode());
        }
    }

    private static void assertMemoryIsFree(SidecarFleet fleet) throws Exception {
        for (int i = 0; i < fleet.nodes.size(); i++) {
            int node = i;
            SidecarFleet.await("no memory is held at node " + i, () -> held(fleet, node) == 0);
        }
    }

    private static double held(SidecarFleet fleet, int node) {
        try {
            String address = fleet.address(node, SidecarFleet.PEER_PORT);
            String metrics =
                    ProtocolRequests.call(fleet.client, "GET", address, "/metrics", "").body();
            Matcher matcher = HELD.matcher(metrics);
            double held = 0;
            int sides = 0;
            for (; matcher.find(); sides++) {
                held += Double.parseDouble(matcher.group(2));
            }
            assertEquals(2, sides, metrics);
            return held;
        } catch (IOException e) {
            throw new AssertionError(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError(e);
        }
    }

    /**
     * Guards against uploads beyond the memory of a node that end with 500, 502 or a reset: each is
     * answered by its target or told at once that it has not run.
     */
    @ParameterizedTest(name = "{0} uploads, {1} entry nodes, chunked {2}")
    @CsvSource({"8, 1, false", "8, 1, true", "4, 2, false", "4, 2, true", "12, 2, false"})
    void uploadBeyondTheMemoryIsRefusedAsNotRun(int count, int entryNodes, boolean chunked)
            throws Exception {
        try (SidecarFleet fleet = new SidecarFleet(MEMORY_BYTES, "other", "other", "shop")) {
            warmUp(fleet, 600);
            fleet.targets.getLast().behaviour(request -> new Behaviour.Answer(200, 1_500, "ok"));
            List<String> answers = uploads(fleet, count, entryNodes, chunked);
            int served = 0;
            for (int i = 0; i < count; i++) {
                String answer = answers.get(i);
                long executions = fleet.executions("up-" + i);
                if (executions > 0) {
                    served++;
                    assertEquals(List.of(200), statuses(answer), fleet::log);
                } else {
                    assertEquals(List.of(503), statuses(answer), fleet::log);
                    assertTrue(answer.toLowerCase().contains("retry-after: "), answer);
                }
            }
            // Three bodies fit into a side.
            assertTrue(served >= 2 && served <= 3, served + " served\n" + fleet.log());
            assertFalse(fleet.log().contains("OutOf"), fleet::log);
            assertMemoryIsFree(fleet);
        }
    }

    /** Guards against a host side without memory that costs a request which another could take. */
    @ParameterizedTest(name = "{0} uploads, chunked {1}")
    @CsvSource({"6, false", "4, true"})
    void uploadGoesToANodeWithMemory(int count, boolean chunked) throws Exception {
        // Both targets are in one zone, so that each entry node may prefer the same one.
        try (SidecarFleet fleet =
                new SidecarFleet(MEMORY_BYTES, "other", "other", "shop", "other", "shop")) {
            warmUp(fleet, 600);
            fleet.targets.forEach(
                    target -> target.behaviour(request -> new Behaviour.Answer(200, 1_500, "ok")));
            for (String answer : uploads(fleet, count, 2, chunked)) {
                assertEquals(List.of(200), statuses(answer), fleet::log);
            }
            assertMemoryIsFree(fleet);
        }
    }

    /** Guards against a slot without memory, given to an upload that waited for it. */
    @Test
    void uploadThatWaitedIsRefusedIfNoMemoryIsLeft() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet(MEMORY_BYTES, "other", "other", "shop");
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            warmUp(fleet, 200);
            fleet.targets.getLast().behaviour(request -> new Behaviour.Answer(200, 400, "ok"));
            for (int i = 0; i < SidecarFleet.SLOTS; i++) {
                String id = "small-" + i;
                callers.submit(() -> fleet.request(0, "POST", "/long/a", id));
            }
            SidecarFleet.await(
                    "all slots are taken",
                    () ->
                            fleet.executions("small-0") + fleet.executions("small-1") == 2
                                    && fleet.executions("small-2") + fleet.executions("small-3")
                                            == 2);
            List<Integer> answered = new ArrayList<>();
            for (String answer : uploads(fleet, 4, 2, false)) {
                answered.addAll(statuses(answer));
            }
            Collections.sort(answered);
            assertEquals(List.of(200, 200, 200, 503), answered, fleet::log);
            assertTrue(fleet.log().contains("outcome=node-overloaded"), fleet::log);
            assertMemoryIsFree(fleet);
        }
    }

    /** Guards against a caller that sends a whole body which was refused by its length. */
    @ParameterizedTest(name = "body of {0} bytes: {1}")
    @CsvSource({"1000000, 503", "200000000, 413"})
    void bodyIsRefusedByItsLength(int bytes, int status) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet(LITTLE_MEMORY_BYTES, "shop");
                Socket caller = new Socket(fleet.ip(0), SidecarFleet.ENTRY_PORT)) {
            caller.setSoTimeout(2_000);
            write(caller, head("long", length(bytes) + "\r\nExpect: 100-continue"));
            assertEquals(List.of(status), statuses(readToEnd(caller)), fleet::log);
            assertEquals(0, fleet.executions("long"));
            assertMemoryIsFree(fleet);
        }
    }

    /** Guards against the bodies of pipelined requests, which wait outside the bound. */
    @Test
    void pipelinedBodyBeyondTheMemoryIsRefused() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet(LITTLE_MEMORY_BYTES, "shop");
                Socket caller = new Socket(fleet.ip(0), SidecarFleet.ENTRY_PORT)) {
            fleet.targets.getLast().behaviour(request -> new Behaviour.Answer(200, 1_000, "ok"));
            caller.setSoTimeout(5_000);
            write(caller, head("first", length(1), "keep-alive") + "x");
            SidecarFleet.await("the first one runs", () -> fleet.executions("first") == 1);
            int bytes = 1_000_000;
            write(caller, head("second", length(bytes), "keep-alive") + body(bytes));
            assertEquals(List.of(200, 503), statuses(readToEnd(caller)), fleet::log);
            assertEquals(0, fleet.executions("second"));
            assertMemoryIsFree(fleet);
        }
    }

    /** Guards against memory that stays reserved, so that the node refuses more and more. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"body unfinished", "answer outstanding", "target mute", "body slow"})
    void memoryIsFreeAfterDisconnectsAndTimeouts(String moment) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet(MEMORY_BYTES, "other", "shop")) {
            fleet.targets.getLast().behaviour(request -> new Behaviour.NoAnswer());
            boolean whole = !moment.startsWith("body");
            boolean stays = moment.equals("target mute") || moment.equals("body slow");
            List<Socket> callers = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                Socket caller = new Socket(fleet.ip(0), SidecarFleet.ENTRY_PORT);
                callers.add(caller);
                write(caller, head("id-" + i, length(BODY_BYTES)));
                write(caller, body(whole ? BODY_BYTES : BODY_BYTES / 2));
            }
            SidecarFleet.await("memory is held", () -> held(fleet, 0) >= 2 * BODY_BYTES);
            if (whole) {
                SidecarFleet.await("memory is held", () -> held(fleet, 1) >= 2 * BODY_BYTES);
            }
            if (!stays) {
                for (Socket caller : callers) {
                    caller.close();
                }
            }
            assertMemoryIsFree(fleet);
            for (Socket caller : callers) {
                caller.close();
            }
            fleet.targets.getLast().behaviour(request -> Behaviour.answer());
            // The timeout of a slow body is longer than a target may be silent.
            fleet.heartbeat(1, "shop", "ready", 1);
            TimeUnit.MILLISECONDS.sleep(SPREAD_MILLIS);
            List<Integer> later = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                later.addAll(statuses(upload(fleet, 0, "later-" + i, false)));
            }
            assertEquals(Collections.nCopies(3, 200), later, fleet::log);
            assertMemoryIsFree(fleet);
        }
    }
}
