package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.azureshed.platform.standin.ProtocolRequests;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks whole nodes while the store holds objects that another writer left there. */
class OddEntryTest {
    private static final String NODES = "azureshed-nodes";
    private static final int REQUESTS_PER_NODE = 20;

    /** Exceeds the limit of 1,000 digits of the JSON parser. */
    private static final String LONG_NUMBER = "9".repeat(1_200);

    /** Exceeds the limit of 1,000 levels of the JSON parser. */
    private static final String DEEP = "[".repeat(5_000) + "]".repeat(5_000);

    private static String entry(String node, String address, String incarnation, String target) {
        return "{\"node\":\""
                + node
                + "\",\"az\":\"az-0\",\"at\":\""
                + address
                + "\",\"incarnation\":"
                + incarnation
                + ",\"revision\":0,\"target\":"
                + target
                + "}";
    }

    private static String target(String slots) {
        return "{\"id\":\"i-odd\",\"born\":1,\"service\":\"shop\",\"slots\":"
                + slots
                + ",\"condition\":\"SERVING\"}";
    }

    static Stream<Arguments> oddNodes() {
        return Stream.of(
                Arguments.of(
                        "port out of range", entry("odd", "127.0.0.9:99999", "5", target("4"))),
                Arguments.of("no port", entry("odd", "127.0.0.9", "5", target("4"))),
                Arguments.of("host name", entry("odd", "no.such.host:80", "5", target("4"))),
                Arguments.of("long number", entry("odd", "127.0.0.9:80", LONG_NUMBER, target("4"))),
                Arguments.of("deep nesting", entry("odd", "127.0.0.9:80", "5", DEEP)),
                Arguments.of(
                        "number beyond 64 bits",
                        entry("odd", "127.0.0.9:80", "99999999999999999999", target("4"))),
                Arguments.of(
                        "slots beyond 32 bits",
                        entry("odd", "127.0.0.9:80", "5", target("4294967297"))),
                Arguments.of("no object", "[[],12,\"text\",null]"),
                Arguments.of("target is no object", entry("odd", "127.0.0.9:80", "5", "7")));
    }

    /**
     * Guards against one odd entry that stops nodes from reading the list, or that takes requests
     * which then end without an answer.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("oddNodes")
    void nodesServeBesideAnOddEntry(String description, String content) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            fleet.store.putRaw(NODES, "odd", content);
            startOneMore(fleet);
            assertAllServed(fleet);
        }
    }

    /** Names of objects between which an odd one is listed: first, between others, last. */
    static Stream<Arguments> oddNames() {
        return Stream.of("a", "node-1x", "z").map(Arguments::of);
    }

    /** Guards against entries that are lost because they share a page with an odd one. */
    @ParameterizedTest
    @MethodSource("oddNames")
    void entriesOfTheSamePageHold(String name) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "other")) {
            fleet.store.putRaw(NODES, name, entry(name, "127.0.0.9:80", LONG_NUMBER, DEEP));
            startOneMore(fleet);
            // Only the listing tells the new node of the target of node 0.
            assertEquals(200, fleet.request(2, "GET", "/read/a", "id-1").statusCode(), fleet::log);
        }
    }

    static Stream<Arguments> claims() {
        String farFuture = Long.toString(Long.MAX_VALUE);
        String nearFuture = Long.toString(System.currentTimeMillis() + 3_600_000);
        return Stream.of(
                Arguments.of("odd", farFuture),
                Arguments.of("odd", nearFuture),
                Arguments.of("node-0", farFuture),
                Arguments.of("node-0", nearFuture));
    }

    /**
     * Guards against an entry that displaces a live node by claiming its address or its name with a
     * high incarnation.
     */
    @ParameterizedTest(name = "{0} with incarnation {1}")
    @MethodSource("claims")
    void claimDoesNotDisplaceALiveNode(String name, String incarnation) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "other")) {
            String address = fleet.address(0, SidecarFleet.HOST_PORT);
            fleet.store.putRaw(NODES, name, entry(name, address, incarnation, target("4")));
            startOneMore(fleet, "other");
            for (int node = 0; node < 3; node++) {
                int caller = node;
                SidecarFleet.await(
                        "node " + node + " reaches the target of node 0",
                        () -> status(fleet, caller) == 200);
            }
        }
    }

    static Stream<Arguments> oddConfigurations() {
        return Stream.of(LONG_NUMBER, DEEP, "{\"version\":\"r9\"}", "null")
                .flatMap(content -> Stream.of("a", "z").map(name -> Arguments.of(name, content)));
    }

    /** Guards against a node that no longer follows the configuration, because of its neighbour. */
    @ParameterizedTest(name = "neighbour {0}")
    @MethodSource("oddConfigurations")
    void configurationIsFollowedBesideAnOddNeighbour(String name, String content) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            fleet.store.putRaw("config", name, content);
            fleet.store.put(
                    "config",
                    "main",
                    ProtocolRequests.configuration(
                            2,
                            List.of(
                                    new ProtocolRequests.RouteSpec(
                                            "/added/", "idempotent", "shop", 4_000))));
            SidecarFleet.await(
                    "the new version is in force",
                    () -> status(fleet, 0, "/added/a") == 200 && status(fleet, 0) == 404);
        }
    }

    private static void startOneMore(SidecarFleet fleet) throws Exception {
        startOneMore(fleet, "shop");
    }

    private static void startOneMore(SidecarFleet fleet, String service) throws Exception {
        int index = fleet.nodes.size();
        fleet.addTarget(index);
        fleet.start(index, service, true);
        SidecarFleet.await("the new node is ready", () -> fleet.ready(index));
        fleet.heartbeat(index, service, "ready", 1);
    }

    private static void assertAllServed(SidecarFleet fleet) throws Exception {
        for (int node = 0; node < fleet.nodes.size(); node++) {
            for (int i = 0; i < REQUESTS_PER_NODE; i++) {
                String id = "id-" + node + '-' + i;
                assertEquals(
                        200, fleet.request(node, "GET", "/read/a", id).statusCode(), fleet::log);
            }
        }
    }

    private static int status(SidecarFleet fleet, int node) {
        return status(fleet, node, "/read/a");
    }

    private static int status(SidecarFleet fleet, int node, String path) {
        try {
            return fleet.request(node, "GET", path, "id-1").statusCode();
        } catch (java.io.IOException e) {
            return 0;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
