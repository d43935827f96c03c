package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.ConnectException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.platform.standin.StoreStandIn;
import org.azureshed.platform.standin.TargetStandIn;
import org.azureshed.platform.standin.TargetStandIn.Behaviour;
import org.azureshed.sidecar.SidecarNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the outcome of requests while nodes, targets or the store fail. */
class SidecarFleetTest {
    /** Makes the first execution on any target fail in the given way and later ones succeed. */
    private static void failFirstExecution(SidecarFleet fleet, Behaviour first) {
        AtomicInteger count = new AtomicInteger();
        for (TargetStandIn target : fleet.targets) {
            target.behaviour(request -> count.getAndIncrement() == 0 ? first : Behaviour.answer());
        }
    }

    static Stream<Arguments> failures() {
        return Stream.of(
                // A failed idempotent request is retried once, on another target.
                Arguments.of("GET", "/read/a", new Behaviour.Reset(), 200, 2),
                Arguments.of("GET", "/read/a", new Behaviour.Truncated(), 200, 2),
                Arguments.of("GET", "/read/a", new Behaviour.Garbage(), 200, 2),
                Arguments.of("GET", "/read/a", new Behaviour.Answer(500, 0, "no"), 200, 2),
                // A failed non-idempotent request is not retried; its status must not misstate the
                // outcome.
                Arguments.of("POST", "/write/a", new Behaviour.Reset(), 502, 1),
                Arguments.of("POST", "/write/a", new Behaviour.Truncated(), 502, 1),
                Arguments.of("POST", "/write/a", new Behaviour.Garbage(), 502, 1),
                Arguments.of("POST", "/write/a", new Behaviour.Answer(500, 0, "no"), 500, 1),
                Arguments.of("POST", "/write/a", new Behaviour.Answer(503, 0, "no"), 502, 1),
                Arguments.of("POST", "/short/a", new Behaviour.NoAnswer(), 504, 1),
                // A request that the target reports as not executed is retried on another target.
                Arguments.of("POST", "/write/a", new Behaviour.Shed(), 200, 1));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void onlyRepeatableOrNotExecutedRequestsAreRetried(
            String method, String path, Behaviour behaviour, int status, int executions)
            throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            failFirstExecution(fleet, behaviour);
            HttpResponse<String> response = fleet.request(0, method, path, "id-1");
            assertEquals(status, response.statusCode(), fleet::log);
            assertEquals(executions, fleet.executions("id-1"));
        }
    }

    /** Guards against a duplicate response that is matched to the connection's next request. */
    @Test
    void duplicateResponseIsDiscarded() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            fleet.targets.getFirst().behaviour(request -> new Behaviour.Twice("ok"));
            for (int i = 0; i < 20; i++) {
                HttpResponse<String> response = fleet.request(0, "GET", "/read/a", "id-" + i);
                assertEquals(200, response.statusCode(), fleet::log);
                String echoed =
                        response.headers().firstValue("X-Azureshed-Request-Id").orElseThrow();
                assertEquals("id-" + i, echoed);
            }
        }
    }

    /**
     * Guards against more concurrent requests on a target than it has slots, and against refusals
     * while slots are free.
     */
    @Test
    void burstUsesAllSlotsAndDoesNotExceedThem() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            // A target is sent only a few requests until it has answered one.
            for (int node = 0; node < 2; node++) {
                String id = "first-" + node;
                assertEquals(200, fleet.request(node, "GET", "/read/a", id).statusCode());
            }
            AtomicInteger running = new AtomicInteger();
            AtomicInteger maxRunning = new AtomicInteger();
            for (TargetStandIn target : fleet.targets) {
                target.behaviour(request -> new Behaviour.Answer(200, 200, "ok"));
            }
            List<Thread> callers = new ArrayList<>();
            AtomicInteger served = new AtomicInteger();
            for (int i = 0; i < 2 * SidecarFleet.SLOTS; i++) {
                String id = "burst-" + i;
                callers.add(
                        Thread.startVirtualThread(
                                () -> {
                                    try {
                                        maxRunning.accumulateAndGet(
                                                running.incrementAndGet(), Math::max);
                                        if (fleet.request(0, "POST", "/write/a", id).statusCode()
                                                == 200) {
                                            served.incrementAndGet();
                                        }
                                    } catch (Exception e) {
                                        throw new IllegalStateException(e);
                                    }
                                }));
            }
            for (Thread caller : callers) {
                caller.join();
            }
            assertEquals(2 * SidecarFleet.SLOTS, served.get(), fleet::log);
            for (TargetStandIn target : fleet.targets) {
                assertEquals(1 + SidecarFleet.SLOTS, target.executions().size());
            }
        }
    }

    /** Guards against new requests to a target whose departure was already acknowledged. */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "deleted"})
    void targetGetsNoRequestsAfterAcknowledgedDeparture(String departure) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            int status =
                    departure.equals("draining")
                            ? fleet.heartbeat(1, "shop", "draining", 1)
                            : fleet.control(1, "DELETE", SidecarFleet.targetId(1), "").statusCode();
            assertEquals(200, status);
            int before = fleet.targets.get(1).executions().size();
            for (int i = 0; i < 10; i++) {
                assertEquals(200, fleet.request(1, "GET", "/read/a", "id-" + i).statusCode());
            }
            assertEquals(before, fleet.targets.get(1).executions().size(), fleet::log);
        }
    }

    /** Guards against requests that wait for a node whose process was killed. */
    @Test
    void requestsAvoidAKilledNode() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            fleet.nodes.get(1).close();
            for (int i = 0; i < 10; i++) {
                HttpResponse<String> response = fleet.request(0, "POST", "/write/a", "id-" + i);
                assertEquals(200, response.statusCode(), fleet::log);
            }
        }
    }

    /**
     * Guards against a node that misses a new configuration, or returns to the old one, because its
     * own calls to the store fail.
     */
    @ParameterizedTest
    @EnumSource(value = StoreStandIn.Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void configurationReachesNodesThatTheStoreFails(StoreStandIn.Fault fault) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop", "shop")) {
            String faultyNodeIp = fleet.ip(2);
            fleet.store.limitFaultTo(address -> address.equals(faultyNodeIp));
            fleet.store.fault(fault);
            fleet.store.dropHistory();
            fleet.store.put(
                    "config",
                    "main",
                    ProtocolRequests.configuration(
                            7,
                            List.of(
                                    new ProtocolRequests.RouteSpec(
                                            "/new/", "idempotent", "shop", 4_000))));
            for (int i = 0; i < 3; i++) {
                int index = i;
                SidecarFleet.await(
                        "version 7 on node " + i, () -> status(fleet, index, "/new/a") == 200);
                assertEquals(404, status(fleet, index, "/read/a"), fleet::log);
            }
            fleet.store.fault(StoreStandIn.Fault.NONE);
        }
    }

    /** Guards against nodes that keep calling the store after it has dropped its history. */
    @Test
    void droppedHistoryCausesFewStoreCalls() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            int before = fleet.store.calls();
            long startNanos = System.nanoTime();
            for (int i = 0; i < 3; i++) {
                fleet.store.dropHistory();
                TimeUnit.MILLISECONDS.sleep(500);
            }
            int calls = fleet.store.calls() - before;
            // Per dropped history: a listing and a watch by each node, plus the periodic node
            // listing. In a small fleet each node's turn to watch anew comes once a second.
            long turns = 1 + TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNanos);
            assertTrue(calls <= 2 * (3 * 2 + 1 + turns), calls + " calls, " + turns + " turns");
        }
    }

    /** Guards against one store call per node for each of many changes in quick succession. */
    @Test
    void rapidConfigurationChangesCauseFewStoreCalls() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            int before = fleet.store.calls();
            long last = 25;
            for (long version = 2; version <= last; version++) {
                fleet.store.put(
                        "config",
                        "main",
                        ProtocolRequests.configuration(
                                version,
                                List.of(
                                        new ProtocolRequests.RouteSpec(
                                                "/v" + version + "/",
                                                "idempotent",
                                                "shop",
                                                4_000))));
                TimeUnit.MILLISECONDS.sleep(40);
            }
            for (int i = 0; i < 2; i++) {
                int index = i;
                SidecarFleet.await(
                        "the last version", () -> status(fleet, index, "/v" + last + "/a") == 200);
            }
            int calls = fleet.store.calls() - before;
            // Changes for 1 s with a pause of 0.3 s between watches: at most 6 watches per node.
            assertTrue(calls <= 2 * 6, calls + " calls");
        }
    }

    private static int status(SidecarFleet fleet, int node, String path) {
        try {
            return fleet.request(node, "GET", path, "c-" + System.nanoTime()).statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against requests that occupy a slot after their caller has disconnected. */
    @Test
    void callerDisconnectFreesTheSlot() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            TargetStandIn target = fleet.targets.getFirst();
            target.behaviour(request -> new Behaviour.Answer(200, 2_000, "late"));
            for (int i = 0; i < SidecarFleet.SLOTS; i++) {
                try (Socket caller = new Socket(fleet.ip(0), SidecarFleet.ENTRY_PORT)) {
                    send(caller, "gone-" + i);
                    int expected = i + 1;
                    SidecarFleet.await(
                            "the target runs the request",
                            () -> target.executions().size() == expected);
                }
            }
            target.behaviour(request -> Behaviour.answer());
            TimeUnit.MILLISECONDS.sleep(200);
            assertEquals(200, fleet.request(0, "GET", "/read/a", "next").statusCode(), fleet::log);
        }
    }

    /** Guards against pipelined requests that are lost or answered out of order. */
    @Test
    void requestsOfOneConnectionAreAnsweredInOrder() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop");
                Socket caller = new Socket(fleet.ip(0), SidecarFleet.ENTRY_PORT)) {
            caller.setSoTimeout(5_000);
            for (int i = 0; i < 5; i++) {
                send(caller, "pipe-" + i);
            }
            String received = readUntil(caller.getInputStream(), "pipe-4");
            int at = 0;
            for (int i = 0; i < 5; i++) {
                int next = received.indexOf("pipe-" + i, at);
                assertTrue(next >= at, received);
                at = next;
            }
        }
    }

    /**
     * Guards against an unasked 408 on a connection whose last request was answered at once, as if
     * its bytes had begun the next head.
     */
    @Test
    void connectionStaysUsableAfterARequestThatIsAnsweredAtOnce() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop");
                Socket caller = new Socket(fleet.ip(0), SidecarFleet.ENTRY_PORT)) {
            String unknown =
                    "GET /nowhere/ HTTP/1.1\r\nHost: "
                            + ProtocolRequests.HOST
                            + "\r\nX-Azureshed-Request-Id: unknown\r\n\r\n";
            caller.setSoTimeout(5_000);
            caller.getOutputStream().write(unknown.getBytes(StandardCharsets.US_ASCII));
            assertTrue(readUntil(caller.getInputStream(), "\r\n\r\n").contains(" 404 "));
            // The header timeout of the configuration is 3 s.
            TimeUnit.MILLISECONDS.sleep(3_500);
            assertEquals(0, caller.getInputStream().available());
            send(caller, "next");
            String answer = readUntil(caller.getInputStream(), "\r\n\r\n");
            assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        }
    }

    private static void send(Socket caller, String id) throws Exception {
        String request =
                "GET /read/a HTTP/1.1\r\nHost: "
                        + ProtocolRequests.HOST
                        + "\r\nX-Azureshed-Request-Id: "
                        + id
                        + "\r\nX-Azureshed-Deadline-Ms: 4000\r\n\r\n";
        caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readUntil(InputStream in, String end) throws Exception {
        StringBuilder received = new StringBuilder();
        byte[] buffer = new byte[4_096];
        while (received.indexOf(end) < 0) {
            int count = in.read(buffer);
            if (count < 0) {
                break;
            }
            received.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
        }
        return received.toString();
    }

    /** Guards against requests that are aborted by a planned stop of their node. */
    @Test
    void plannedStopWaitsForRequestsInFlight() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            for (TargetStandIn target : fleet.targets) {
                target.behaviour(request -> new Behaviour.Answer(200, 800, "slow"));
            }
            AtomicInteger status = new AtomicInteger();
            Thread caller =
                    Thread.startVirtualThread(() -> status.set(status(fleet, 0, "/write/a")));
            TimeUnit.MILLISECONDS.sleep(200);
            fleet.nodes.getFirst().stop();
            caller.join();
            assertEquals(200, status.get(), fleet::log);
        }
    }

    /**
     * Guards against a request that the node reads just before it closes its connections and then
     * aborts. Callers reuse their connections until the node closes them.
     */
    @Test
    void plannedStopCutsOffNoRequestOnAPersistentConnection() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            List<String> cutOffRequests = new CopyOnWriteArrayList<>();
            AtomicBoolean stopCalling = new AtomicBoolean();
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                String name = "kept-" + i + '-';
                callers.add(
                        Thread.startVirtualThread(
                                () -> callUntilStopped(stopCalling, fleet, name, cutOffRequests)));
            }
            TimeUnit.MILLISECONDS.sleep(200);
            fleet.nodes.getFirst().stop();
            fleet.nodes.getFirst().close();
            stopCalling.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            assertEquals(List.of(), cutOffRequests, fleet::log);
        }
    }

    /**
     * Guards against a request that is queued at another node's target and gets no response because
     * its own node stops first.
     */
    @Test
    void queuedRequestIsAnsweredBeforeItsNodeStops() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            assertEquals(200, fleet.heartbeat(0, "shop", "draining", 1));
            fleet.targets.get(1).behaviour(request -> new Behaviour.NoAnswer());
            AtomicInteger status = new AtomicInteger();
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < SidecarFleet.SLOTS; i++) {
                String id = "mute-" + i;
                callers.add(
                        Thread.startVirtualThread(
                                () -> {
                                    try {
                                        String path = "/long/" + id;
                                        int answer =
                                                fleet.request(0, "POST", path, id).statusCode();
                                        if (fleet.executions(id) == 0) {
                                            status.set(answer);
                                        }
                                    } catch (Exception e) {
                                        status.set(-1);
                                    }
                                }));
                TimeUnit.MILLISECONDS.sleep(50);
            }
            fleet.nodes.getFirst().stop();
            fleet.nodes.getFirst().close();
            for (Thread caller : callers) {
                caller.join();
            }
            assertEquals(503, status.get(), fleet::log);
        }
    }

    /**
     * Guards against a node that is stopped during its start, starts anyway and then serves until
     * it is killed.
     */
    @Test
    void nodeStoppedBeforeItsStartDoesNotListen() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            SidecarNode stoppedNode = fleet.create(1, "shop", true);
            stoppedNode.stop();
            stoppedNode.start();
            assertThrows(ConnectException.class, () -> fleet.request(1, "GET", "/read/a", "id"));
        }
    }

    private static void callUntilStopped(
            AtomicBoolean stopCalling,
            SidecarFleet fleet,
            String name,
            List<String> cutOffRequests) {
        for (int i = 0; !stopCalling.get(); i++) {
            String id = name + i;
            try {
                fleet.request(0, "POST", "/write/a", id);
            } catch (Exception e) {
                if (fleet.executions(id) > 0) {
                    cutOffRequests.add(id + ' ' + e);
                }
            }
        }
    }

    /**
     * Guards against a request that crashes one target after another, no matter which node it is
     * sent to.
     */
    @Test
    void requestThatCrashesTargetsIsRefusedByAllNodes() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            for (int crash = 0; crash < 3; crash++) {
                TargetStandIn target = fleet.targets.getFirst();
                fleet.heartbeat(1, "shop", "draining", 1);
                target.behaviour(request -> new Behaviour.Reset());
                HttpResponse<String> response =
                        fleet.request(0, "GET", "/read/deadly", "crash-" + crash);
                assertEquals(502, response.statusCode(), fleet::log);
                fleet.heartbeat(0, "shop", "ready", 2 + crash);
                TimeUnit.MILLISECONDS.sleep(100);
            }
            fleet.targets.getFirst().behaviour(request -> Behaviour.answer());
            for (int node = 0; node < 2; node++) {
                HttpResponse<String> refused =
                        fleet.request(node, "GET", "/read/deadly", "again-" + node);
                assertEquals(503, refused.statusCode(), fleet::log);
            }
            assertEquals(0, fleet.executions("again-0") + fleet.executions("again-1"));
        }
    }
}
