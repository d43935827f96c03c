package org.azureshed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Restarts a node during an outage of the platform, which then comes back with older data. Guards
 * against nodes that need the platform to serve requests, and against nodes that return to an older
 * preset.
 */
class OutageIT {
    private static final Duration MAX_PRESET_CHANGE_DURATION = Duration.ofSeconds(15);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(6);
    private static final long OBSERVATION_SECONDS = 5;

    @Test
    void fleetServesDuringOutageAndKeepsPreset() throws Exception {
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
            fleet.setFaults("{\"snapshot\":true}");
            activatePreset(fleet, entry, "peak");
            for (FleetProcesses.Node node : nodes) {
                fleet.awaitReady(node, "peak", "a");
            }
            fleet.setFaults("{\"outage\":\"close\"}");
            try (LoadGenerator load =
                    new LoadGenerator(fleet.client(), entry.uri("/chapters/1"), REQUEST_TIMEOUT)) {
                fleet.kill("other");
                fleet.startNode(other, entry, host);
                fleet.awaitReady(other, "peak", "a");
                assertEquals(
                        200,
                        fleet.getStatusCode(other.uri("/chapters/2")),
                        "status from the restarted node");
                long activationNumber = activationNumber(fleet, other);
                fleet.setFaults("{\"outage\":\"none\",\"restore\":true}");
                for (long second = 0; second < OBSERVATION_SECONDS; second++) {
                    TimeUnit.SECONDS.sleep(1);
                    for (FleetProcesses.Node node : nodes) {
                        assertEquals(activationNumber, activationNumber(fleet, node), node.id());
                    }
                }
                activatePreset(fleet, entry, "maintenance");
                long deadlineNanos = System.nanoTime() + MAX_PRESET_CHANGE_DURATION.toNanos();
                for (FleetProcesses.Node node : nodes) {
                    Duration remaining = Duration.ofNanos(deadlineNanos - System.nanoTime());
                    FleetProcesses.await(
                            "maintenance on " + node.id(),
                            remaining,
                            () -> fleet.status(node).path("preset").asText().equals("maintenance"));
                }
                load.stop();
                assertEquals(List.of(), load.matching(result -> !result.ok()));
            }
        }
    }

    private static void activatePreset(
            FleetProcesses fleet, FleetProcesses.Node node, String preset) throws Exception {
        String adminAddress = "http://127.0.0.1:" + node.adminPort();
        String[] command = {"preset", "use", preset, "--platform", fleet.platform()};
        fleet.runCommand(
                command[0],
                command[1],
                command[2],
                command[3],
                command[4],
                "--node",
                adminAddress,
                "--reason",
                "test");
    }

    private static long activationNumber(FleetProcesses fleet, FleetProcesses.Node node)
            throws Exception {
        return fleet.status(node).path("activationNumber").asLong();
    }
}
