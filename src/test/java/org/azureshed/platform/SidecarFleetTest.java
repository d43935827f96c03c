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
import org.azureshed.platform.standin.Sessions;
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

/** Guards the outcomes of requests through nodes, targets and a store that fail. */
class SidecarFleetTest {
    /** The first run fails as given, later ones succeed. */
    private static void failFirst(SidecarFleet fleet, Behaviour first) {
        AtomicInteger count = new AtomicInteger();
        for (TargetStandIn target : fleet.targets) {
            target.behaviour(request -> count.getAndIncrement() == 0 ? first : Behaviour.answer());
        }
    }

    static Stream<Arguments> failures() {
        return Stream.of(
                // A failed repeatable request is sent to another target, once.
                Arguments.of("GET", "/read/a", new Behaviour.Reset(), 200, 2),
                Arguments.of("GET", "/read/a", new Behaviour.Truncated(), 200, 2),
                Arguments.of("GET", "/read/a", new Behaviour.Garbage(), 200, 2),
                Arguments.of("GET", "/read/a", new Behaviour.Answer(500, 0, "no"), 200, 2),
                // A request that must not repeat runs once, and its caller learns no falsehood.
                Arguments.of("POST", "/write/a", new Behaviour.Reset(), 502, 1),
                Arguments.of("POST", "/write/a", new Behaviour.Truncated(), 502, 1),
                Arguments.of("POST", "/write/a", new Behaviour.Garbage(), 502, 1),
                Arguments.of("POST", "/write/a", new Behaviour.Answer(500, 0, "no"), 500, 1),
                Arguments.of("POST", "/write/a", new Behaviour.Answer(503, 0, "no"), 502, 1),
                Arguments.of("POST", "/short/a", new Behaviour.Mute(), 504, 1),
                // What the target states not to have run may go elsewhere.
                Arguments.of("POST", "/write/a", new Behaviour.Shed(), 200, 1));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void failedRunEndsAsItsKindAllows(
            String method, String path, Behaviour behaviour, int status, int runs)
            throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            failFirst(fleet, behaviour);
            HttpResponse<String> response = fleet.request(0, method, path, "id-1");
            assertEquals(status, response.statusCode(), fleet::log);
            assertEquals(runs, fleet.runs("id-1"));
        }
    }

    /** Guards against an extra answer being taken for the answer of the next request. */
    @Test
    void secondAnswerReachesNobody() throws Exception {
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
     * Guards against a target being run above its slots, and against refusals while slots are free.
     */
    @Test
    void burstFillsAllSlotsAndNoMore() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            // A target runs few requests until it has answered one.
            for (int node = 0; node < 2; node++) {
                String id = "first-" + node;
                assertEquals(200, fleet.request(node, "GET", "/read/a", id).statusCode());
            }
            AtomicInteger running = new AtomicInteger();
            AtomicInteger most = new AtomicInteger();
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
                                        most.accumulateAndGet(running.incrementAndGet(), Math::max);
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
                assertEquals(1 + SidecarFleet.SLOTS, target.runs().size());
            }
        }
    }

    /** Guards against new work for a target after its departure was acknowledged. */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "deleted"})
    void acknowledgedDepartureClosesTheTarget(String way) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            int status =
                    way.equals("draining")
                            ? fleet.heartbeat(1, "shop", "draining", 1)
                            : fleet.control(1, "DELETE", SidecarFleet.targetId(1), "").statusCode();
            assertEquals(200, status);
            int before = fleet.targets.get(1).runs().size();
            for (int i = 0; i < 10; i++) {
                assertEquals(200, fleet.request(1, "GET", "/read/a", "id-" + i).statusCode());
            }
            assertEquals(before, fleet.targets.get(1).runs().size(), fleet::log);
        }
    }

    /** Guards against a restarted node that opens a target whose departure it acknowledged. */
    @Test
    void departureOutlastsTheProcess() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            assertEquals(
                    200, fleet.control(1, "DELETE", SidecarFleet.targetId(1), "").statusCode());
            fleet.nodes.get(1).close();
            fleet.start(1, "shop", false);
            SidecarFleet.await("the node is back", () -> fleet.ready(1));
            fleet.heartbeat(1, "shop", "ready", 1);
            TimeUnit.MILLISECONDS.sleep(500);
            for (int i = 0; i < 10; i++) {
                assertEquals(200, fleet.request(0, "GET", "/read/a", "id-" + i).statusCode());
            }
            assertEquals(0, fleet.targets.get(1).runs().size(), fleet::log);
        }
    }

    /** Guards against requests that wait for a node whose process is gone. */
    @Test
    void killedNodeIsPassedOver() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            fleet.nodes.get(1).close();
            for (int i = 0; i < 10; i++) {
                HttpResponse<String> response = fleet.request(0, "POST", "/write/a", "id-" + i);
                assertEquals(200, response.statusCode(), fleet::log);
            }
        }
    }

    /** Guards against a configuration that does not arrive, or goes back, while the store fails. */
    @ParameterizedTest
    @EnumSource(value = StoreStandIn.Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void configurationReachesNodesThatTheStoreTurnsAway(StoreStandIn.Fault fault) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop", "shop")) {
            String away = fleet.ip(2);
            fleet.store.faultFor(caller -> caller.equals(away));
            fleet.store.fault(fault);
            fleet.store.dropHistory();
            fleet.store.put(
                    "config",
                    "main",
                    Sessions.configuration(
                            7,
                            List.of(new Sessions.RouteText("/new/", "idempotent", "shop", 4_000))));
            for (int i = 0; i < 3; i++) {
                int index = i;
                SidecarFleet.await(
                        "version 7 on node " + i, () -> status(fleet, index, "/new/a") == 200);
                assertEquals(404, status(fleet, index, "/read/a"), fleet::log);
            }
            fleet.store.fault(StoreStandIn.Fault.NONE);
        }
    }

    /** Guards against nodes that ask the store again and again after it has dropped its history. */
    @Test
    void droppedHistoryCostsFewCalls() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            int before = fleet.store.calls();
            for (int i = 0; i < 3; i++) {
                fleet.store.dropHistory();
                TimeUnit.MILLISECONDS.sleep(500);
            }
            int calls = fleet.store.calls() - before;
            // A listing and a watch for each node and loss, and the regular listing of nodes.
            assertTrue(calls <= 2 * (3 * 2 + 1), calls + " calls");
        }
    }

    /** Guards against a call of the store by each node for each of many quick changes. */
    @Test
    void stormOfConfigurationsCostsFewCalls() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            int before = fleet.store.calls();
            long last = 25;
            for (long version = 2; version <= last; version++) {
                fleet.store.put(
                        "config",
                        "main",
                        Sessions.configuration(
                                version,
                                List.of(
                                        new Sessions.RouteText(
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
            // A second of changes and a pause of 0.3 s: at most 6 watches for each node.
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

    /** Guards against work that goes on after its caller has left. */
    @Test
    void leavingCallerFreesTheSlot() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            TargetStandIn target = fleet.targets.getFirst();
            target.behaviour(request -> new Behaviour.Answer(200, 2_000, "late"));
            for (int i = 0; i < SidecarFleet.SLOTS; i++) {
                try (Socket caller = new Socket(fleet.ip(0), SidecarFleet.ENTRY_PORT)) {
                    send(caller, "gone-" + i);
                    int expected = i + 1;
                    SidecarFleet.await("it runs", () -> target.runs().size() == expected);
                }
            }
            target.behaviour(request -> Behaviour.answer());
            TimeUnit.MILLISECONDS.sleep(200);
            assertEquals(200, fleet.request(0, "GET", "/read/a", "next").statusCode(), fleet::log);
        }
    }

    /** Guards against requests of one connection that are lost or answered out of order. */
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

    private static void send(Socket caller, String id) throws Exception {
        String request =
                "GET /read/a HTTP/1.1\r\nHost: "
                        + Sessions.HOST
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

    /** Guards against requests that are cut off by a planned stop of their node. */
    @Test
    void plannedStopEndsRequestsFirst() throws Exception {
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
     * Guards against a request that is read in the last moment of a stop and then cut off. Callers
     * use their connections until the node closes them.
     */
    @Test
    void stopCutsNoRequestOfAKeptConnection() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            List<String> cut = new CopyOnWriteArrayList<>();
            AtomicBoolean ended = new AtomicBoolean();
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                String name = "kept-" + i + '-';
                callers.add(Thread.startVirtualThread(() -> callUntil(ended, fleet, name, cut)));
            }
            TimeUnit.MILLISECONDS.sleep(200);
            fleet.nodes.getFirst().stop();
            fleet.nodes.getFirst().close();
            ended.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            assertEquals(List.of(), cut, fleet::log);
        }
    }

    /** Guards against a request that waits at another node until its own ends without an answer. */
    @Test
    void waitingRequestIsAnsweredBeforeItsNodeEnds() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            assertEquals(200, fleet.heartbeat(0, "shop", "draining", 1));
            fleet.targets.get(1).behaviour(request -> new Behaviour.Mute());
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
                                        if (fleet.runs(id) == 0) {
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
     * Guards against a node that is stopped while it starts, and then serves until it is killed.
     */
    @Test
    void nodeStoppedBeforeItsStartNeverListens() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            SidecarNode late = fleet.create(1, "shop", true);
            late.stop();
            late.start();
            assertThrows(ConnectException.class, () -> fleet.request(1, "GET", "/read/a", "id"));
        }
    }

    private static void callUntil(
            AtomicBoolean ended, SidecarFleet fleet, String name, List<String> cut) {
        for (int i = 0; !ended.get(); i++) {
            String id = name + i;
            try {
                fleet.request(0, "POST", "/write/a", id);
            } catch (Exception e) {
                if (fleet.runs(id) > 0) {
                    cut.add(id + ' ' + e);
                }
            }
        }
    }

    /**
     * Guards against a request that crashes one target after the other, at whichever node it comes.
     */
    @Test
    void requestThatCrashesTargetsIsRefusedEverywhere() throws Exception {
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
            assertEquals(0, fleet.runs("again-0") + fleet.runs("again-1"));
        }
    }

    /** Guards against unreadable heartbeats being taken for targets. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{",
                "{}",
                "{\"address\":7,\"info\":{},\"status\":{}}",
                "{\"address\":\"1:1\",\"info\":{\"service\":\"shop\",\"slots\":4},"
                        + "\"status\":{\"state\":\"resting\",\"sequence\":1}}"
            })
    void unreadableHeartbeatIsRefused(String body) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            assertEquals(400, fleet.control(0, "PUT", "i-9", body).statusCode());
            assertEquals(200, fleet.request(0, "GET", "/read/a", "id-1").statusCode());
        }
    }
}
