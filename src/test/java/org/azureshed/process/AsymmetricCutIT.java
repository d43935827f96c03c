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

/** Guards against partitions of which one direction, or one kind of traffic, still works. */
class AsymmetricCutIT {
    private static final Duration DEADLINE = Duration.ofSeconds(5);

    /**
     * Longer than several backoffs and a deadline. The floor of 60% forces a bad path to one of two
     * targets into use; such requests once waited for their whole deadline.
     */
    private static final long CUT_SECONDS = 25;

    /** Longest backoff of a bad path, and two probes. */
    private static final Duration RETURN_BOUND = Duration.ofSeconds(32 + 2);

    /** A target that is leaving gets no new work after this time. */
    private static final long DRAIN_SECONDS = 3;

    /**
     * Requests to a host side, or its answers, are lost while its control messages and its own
     * requests to others pass, so that membership and the platform show a healthy node.
     */
    @ParameterizedTest(name = "{0} are cut")
    @EnumSource(CuttableRelay.Direction.class)
    void pathToAHostIsCut(CuttableRelay.Direction direction) throws Exception {
        try (Fixture fixture = new Fixture("path-" + direction)) {
            try (Load entry = fixture.pages(fixture.entry);
                    Load host = fixture.pages(fixture.host);
                    Load other = fixture.pages(fixture.other)) {
                List<Load> loads = List.of(entry, host, other);
                TimeUnit.SECONDS.sleep(1);
                fixture.hostRelay.cut(direction);
                TimeUnit.SECONDS.sleep(CUT_SECONDS);
                for (Load load : loads) {
                    assertFalse(load.answers().getLast().body().contains(TARGET_A), "cut off");
                }
                // An entry meets the cut only when it chooses the target; one did so after 5.8 s.
                FleetProcesses.await(
                        "the cut in the status of the entry",
                        RETURN_BOUND,
                        () -> !fixture.fleet.status(fixture.entry).path("badPaths").isEmpty());
                // An operator must see the cut from the node alone.
                JsonNode status = fixture.fleet.status(fixture.entry);
                assertEquals("[\"host\"]", status.path("badPaths").toString());
                assertEquals("bad", target(status, "a").path("path").asText());
                assertEquals("good", target(status, "b").path("path").asText());
                assertEquals(100, target(status, "a").path("weightPercent").asInt(), "ejected");
                assertTrue(fixture.metrics(fixture.entry).contains("azureshed_bad_paths 1.0"));
                fixture.hostRelay.restore();
                FleetProcesses.await(
                        "requests at the target behind the restored path",
                        RETURN_BOUND,
                        () -> entry.answers().getLast().body().contains(TARGET_A));
                for (Load load : loads) {
                    load.end();
                    assertEquals(List.of(), load.those(answer -> !answer.ok()));
                    assertEquals(
                            List.of(), load.those(answer -> answer.millis() > DEADLINE.toMillis()));
                }
            }
        }
    }

    private static JsonNode target(JsonNode status, String id) {
        for (JsonNode target : status.path("services").path("reading")) {
            if (target.path("target").asText().equals(id)) {
                return target;
            }
        }
        throw new AssertionError("no target " + id + " in " + status);
    }

    /** A node that nobody can send control messages to must still make its drain known. */
    @Test
    void drainSpreadsFromANodeThatHearsNothing() throws Exception {
        try (Fixture fixture = new Fixture("control")) {
            fixture.controlRelay.cut(CuttableRelay.Direction.REQUESTS);
            try (Load entry = fixture.pages(fixture.entry);
                    Load other = fixture.pages(fixture.other)) {
                TimeUnit.SECONDS.sleep(CUT_SECONDS);
                fixture.fleet.signal("TERM", "a");
                TimeUnit.SECONDS.sleep(DRAIN_SECONDS);
                List<Integer> before = List.of(entry.answers().size(), other.answers().size());
                TimeUnit.SECONDS.sleep(2);
                entry.end();
                other.end();
                for (Load load : List.of(entry, other)) {
                    int from = before.get(load == entry ? 0 : 1) + 1;
                    List<Load.Answer> late = load.answers().subList(from, load.answers().size());
                    assertFalse(late.isEmpty(), "no request was answered");
                    assertEquals(
                            List.of(),
                            late.stream().filter(a -> a.body().contains(TARGET_A)).toList());
                    assertEquals(List.of(), load.those(answer -> !answer.ok()));
                }
            }
        }
    }

    private static final String TARGET_A = "\"target\":\"a\"";

    /** Target a is on the node behind the relays, target b on another one. */
    private static final class Fixture implements AutoCloseable {
        private final FleetProcesses fleet;
        private final FleetProcesses.Node entry;
        private final FleetProcesses.Node host;
        private final FleetProcesses.Node other;
        private final CuttableRelay hostRelay;
        private final CuttableRelay controlRelay;

        Fixture(String name) throws Exception {
            fleet = new FleetProcesses("cut-" + name);
            entry = fleet.newNode("entry");
            host = fleet.newNode("host");
            other = fleet.newNode("other");
            hostRelay = new CuttableRelay(host.host());
            controlRelay = new CuttableRelay(host.control());
            try {
                start();
            } catch (Exception | AssertionError e) {
                // The processes would outlive the test.
                close();
                throw e;
            }
        }

        private void start() throws Exception {
            fleet.startPlatform();
            fleet.startNode(entry);
            fleet.startBehind(host, hostRelay, controlRelay);
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

        Load pages(FleetProcesses.Node node) {
            return new Load(fleet.client(), node.uri("/chapters/1"), DEADLINE.plusSeconds(5));
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
