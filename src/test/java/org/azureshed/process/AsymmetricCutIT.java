package org.azureshed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Cuts one direction, or one kind of traffic, between nodes while the rest still works. Guards
 * against nodes that keep using such a path, or do not learn of a drain behind it.
 */
class AsymmetricCutIT {
    private static final Duration REQUEST_DEADLINE = Duration.ofSeconds(5);

    /**
     * Covers several backoffs and a deadline. With two targets, the floor of 60% forces a node to
     * use the bad path to one of them; such requests once waited for their whole deadline.
     */
    private static final long CUT_SECONDS = 25;

    /** Longest backoff of a bad path plus the time of two probes. */
    private static final Duration MAX_PATH_CHANGE = Duration.ofSeconds(32 + 2);

    /** Time after which a draining target must get no new requests. */
    private static final long MAX_DRAIN_ANNOUNCEMENT_SECONDS = 3;

    /**
     * The requests to a host side, or its responses, are lost. Its control messages and its own
     * requests to others still pass, so membership and the platform show a healthy node.
     */
    @ParameterizedTest(name = "{0} are cut")
    @EnumSource(FaultInjectingRelay.Direction.class)
    void pathToAHostIsCut(FaultInjectingRelay.Direction direction) throws Exception {
        try (Fixture fixture = new Fixture("path-" + direction)) {
            try (LoadGenerator entry = fixture.startLoad(fixture.entry);
                    LoadGenerator host = fixture.startLoad(fixture.host);
                    LoadGenerator other = fixture.startLoad(fixture.other)) {
                List<LoadGenerator> loads = List.of(entry, host, other);
                TimeUnit.SECONDS.sleep(1);
                fixture.hostRelay.cut(direction);
                TimeUnit.SECONDS.sleep(CUT_SECONDS);
                for (LoadGenerator load : loads) {
                    assertFalse(
                            load.results().getLast().body().contains(TARGET_A),
                            "last request was served by the target behind the cut");
                }
                // A node detects the cut only when it picks the target; in one run after 5.8 s.
                FleetProcesses.await(
                        "a bad path in the status of the entry node",
                        MAX_PATH_CHANGE,
                        () -> !fixture.fleet.status(fixture.entry).path("badPaths").isEmpty());
                // The node's own status and metrics must show the cut to an operator.
                JsonNode status = fixture.fleet.status(fixture.entry);
                assertEquals("[\"host\"]", status.path("badPaths").toString());
                assertEquals("bad", findTarget(status, "a").path("path").asText());
                assertEquals("good", findTarget(status, "b").path("path").asText());
                assertEquals(100, findTarget(status, "a").path("weightPercent").asInt(), "ejected");
                assertTrue(fixture.metrics(fixture.entry).contains("azureshed_bad_paths 1.0"));
                fixture.hostRelay.restore();
                FleetProcesses.await(
                        "requests at the target behind the restored path",
                        MAX_PATH_CHANGE,
                        () -> entry.results().getLast().body().contains(TARGET_A));
                for (LoadGenerator load : loads) {
                    load.stop();
                    assertEquals(List.of(), load.matching(result -> !result.ok()));
                    assertEquals(
                            List.of(),
                            load.matching(result -> result.millis() > REQUEST_DEADLINE.toMillis()));
                }
            }
        }
    }

    private static JsonNode findTarget(JsonNode status, String id) {
        for (JsonNode target : status.path("services").path("reading")) {
            if (target.path("target").asText().equals(id)) {
                return target;
            }
        }
        throw new AssertionError("no target " + id + " in " + status);
    }

    /** Others must learn of a drain on a node that receives no control messages. */
    @Test
    void drainIsAnnouncedWithoutIncomingControlMessages() throws Exception {
        try (Fixture fixture = new Fixture("control")) {
            fixture.controlRelay.cut(FaultInjectingRelay.Direction.REQUESTS);
            try (LoadGenerator entry = fixture.startLoad(fixture.entry);
                    LoadGenerator other = fixture.startLoad(fixture.other)) {
                TimeUnit.SECONDS.sleep(CUT_SECONDS);
                fixture.fleet.signal("TERM", "a");
                TimeUnit.SECONDS.sleep(MAX_DRAIN_ANNOUNCEMENT_SECONDS);
                List<Integer> countsAfterAnnouncement =
                        List.of(entry.results().size(), other.results().size());
                TimeUnit.SECONDS.sleep(2);
                entry.stop();
                other.stop();
                for (LoadGenerator load : List.of(entry, other)) {
                    int firstIndex = countsAfterAnnouncement.get(load == entry ? 0 : 1) + 1;
                    List<LoadGenerator.Result> resultsAfterAnnouncement =
                            load.results().subList(firstIndex, load.results().size());
                    assertFalse(resultsAfterAnnouncement.isEmpty(), "no request was answered");
                    assertEquals(
                            List.of(),
                            resultsAfterAnnouncement.stream()
                                    .filter(result -> result.body().contains(TARGET_A))
                                    .toList());
                    assertEquals(List.of(), load.matching(result -> !result.ok()));
                }
            }
        }
    }

    private static final String TARGET_A = "\"target\":\"a\"";

    /** Three nodes; target a is on the node behind the relays, target b on one without relays. */
    private static final class Fixture implements AutoCloseable {
        private final FleetProcesses fleet;
        private final FleetProcesses.Node entry;
        private final FleetProcesses.Node host;
        private final FleetProcesses.Node other;
        private final FaultInjectingRelay hostRelay;
        private final FaultInjectingRelay controlRelay;

        Fixture(String name) throws Exception {
            fleet = new FleetProcesses("cut-" + name);
            entry = fleet.newNode("entry");
            host = fleet.newNode("host");
            other = fleet.newNode("other");
            hostRelay = new FaultInjectingRelay(host.hostPort());
            controlRelay = new FaultInjectingRelay(host.controlPort());
            try {
                start();
            } catch (Exception | AssertionError e) {
                // Otherwise the processes would outlive the test.
                close();
                throw e;
            }
        }

        private void start() throws Exception {
            fleet.startPlatform();
            fleet.startNode(entry);
            fleet.startNodeBehindRelays(host, hostRelay, controlRelay);
            fleet.startNode(other);
            fleet.usePreset("ordinary");
            fleet.awaitReady(host, "ordinary");
            fleet.awaitReady(other, "ordinary");
            fleet.startTarget(host, "a", "reading");
            fleet.startTarget(other, "b", "reading");
            for (FleetProcesses.Node node : List.of(entry, host, other)) {
                fleet.awaitReady(node, "ordinary", "a", "b");
            }
        }

        LoadGenerator startLoad(FleetProcesses.Node node) {
            return new LoadGenerator(
                    fleet.client(), node.uri("/chapters/1"), REQUEST_DEADLINE.plusSeconds(5));
        }

        String metrics(FleetProcesses.Node node) throws Exception {
            HttpRequest request = HttpRequest.newBuilder(node.adminUri("/metrics")).build();
            return fleet.client().send(request, HttpResponse.BodyHandlers.ofString()).body();
        }

        @Override
        public void close() throws Exception {
            fleet.close();
            hostRelay.close();
            controlRelay.close();
        }
    }
}
