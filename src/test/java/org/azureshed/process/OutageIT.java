package org.azureshed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against fleets that need the platform for traffic, and against reverted presets. */
class OutageIT {
    private static final Duration CHANGE_BOUND = Duration.ofSeconds(15);
    private static final Duration DEADLINE = Duration.ofSeconds(6);
    private static final long WATCH_SECONDS = 5;

    @Test
    void fleetWorksInAnOutageAndNeverReverts() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses("outage")) {
            fleet.startPlatform();
            FleetProcesses.Node entry = fleet.newNode("entry");
            FleetProcesses.Node host = fleet.newNode("host");
            FleetProcesses.Node other = fleet.newNode("other");
            List<FleetProcesses.Node> nodes = List.of(entry, host, other);
            for (FleetProcesses.Node node : nodes) {
                fleet.startNode(node);
            }
            for (String preset : List.of("peak", "maintenance", "ordinary")) {
                fleet.usePreset(preset);
            }
            fleet.awaitReady(host, "ordinary");
            fleet.startTarget(host, "a", "reading");
            fleet.faults("{\"snapshot\":true}");
            use(fleet, entry, "peak");
            for (FleetProcesses.Node node : nodes) {
                fleet.awaitReady(node, "peak", "a");
            }
            fleet.faults("{\"outage\":\"close\"}");
            try (Load load = new Load(fleet.client(), entry.uri("/chapters/1"), DEADLINE)) {
                fleet.kill("other");
                fleet.startNode(other, entry, host);
                fleet.awaitReady(other, "peak", "a");
                assertEquals(200, fleet.get(other.uri("/chapters/2")), "the restarted node");
                long number = number(fleet, other);
                fleet.faults("{\"outage\":\"none\",\"restore\":true}");
                for (long second = 0; second < WATCH_SECONDS; second++) {
                    TimeUnit.SECONDS.sleep(1);
                    for (FleetProcesses.Node node : nodes) {
                        assertEquals(number, number(fleet, node), node.id());
                    }
                }
                use(fleet, entry, "maintenance");
                long end = System.nanoTime() + CHANGE_BOUND.toNanos();
                for (FleetProcesses.Node node : nodes) {
                    Duration left = Duration.ofNanos(end - System.nanoTime());
                    FleetProcesses.await(
                            "maintenance on " + node.id(),
                            left,
                            () -> fleet.status(node).path("preset").asText().equals("maintenance"));
                }
                load.end();
                assertEquals(List.of(), load.those(answer -> !answer.ok()));
            }
        }
    }

    private static void use(FleetProcesses fleet, FleetProcesses.Node node, String preset)
            throws Exception {
        String admin = "http://127.0.0.1:" + node.admin();
        String[] call = {"preset", "use", preset, "--platform", fleet.platform()};
        fleet.run(call[0], call[1], call[2], call[3], call[4], "--node", admin, "--reason", "test");
    }

    private static long number(FleetProcesses fleet, FleetProcesses.Node node) throws Exception {
        return fleet.status(node).path("activationNumber").asLong();
    }
}
