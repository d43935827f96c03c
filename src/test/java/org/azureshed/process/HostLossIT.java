package org.azureshed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against callers who get no answer, or no typed one, when a host node is lost. */
class HostLossIT {
    /** Deadlines of the classes page and submission in the preset, with time to deliver. */
    private static final long PAGE_MILLIS = 5_000 + 1_000;

    private static final Duration SUBMISSION = Duration.ofSeconds(12);
    private static final long PAUSE_SECONDS = 8;

    @Test
    void killedHostNode() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses("kill")) {
            FleetProcesses.Node entry = start(fleet);
            try (Load pages = pages(fleet, entry);
                    Load stories =
                            new Load(fleet.client(), entry.uri("/stories"), SUBMISSION, true)) {
                TimeUnit.SECONDS.sleep(1);
                fleet.kill("host");
                TimeUnit.SECONDS.sleep(PAUSE_SECONDS);
                pages.end();
                stories.end();
                assertEquals(List.of(), pages.those(answer -> !answer.ok()));
                assertEquals(List.of(), stories.those(answer -> !answer.typed()));
            }
            assertEquals(200, fleet.get(entry.uri("/chapters/2")));
        }
    }

    @Test
    void pausedHostNode() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses("pause")) {
            FleetProcesses.Node entry = start(fleet);
            try (Load one = pages(fleet, entry);
                    Load two = pages(fleet, entry)) {
                TimeUnit.SECONDS.sleep(1);
                fleet.signal("STOP", "host");
                int before = one.answers().size();
                TimeUnit.SECONDS.sleep(PAUSE_SECONDS);
                fleet.signal("CONT", "host");
                one.end();
                two.end();
                for (Load load : List.of(one, two)) {
                    assertEquals(List.of(), load.those(answer -> !answer.ok()));
                    assertEquals(List.of(), load.those(answer -> answer.millis() > PAGE_MILLIS));
                }
                List<Load.Answer> paused = one.answers().subList(before, one.answers().size());
                assertFalse(paused.isEmpty());
                assertTrue(
                        paused.stream().anyMatch(answer -> answer.body().contains("\"reading-b\"")),
                        "the other target must go on serving");
            }
            assertEquals(200, fleet.get(entry.uri("/chapters/2")));
        }
    }

    private static Load pages(FleetProcesses fleet, FleetProcesses.Node entry) {
        return new Load(fleet.client(), entry.uri("/chapters/1"), Duration.ofSeconds(10));
    }

    /** Targets a are on the node that is lost, targets b on another one. */
    private static FleetProcesses.Node start(FleetProcesses fleet) throws Exception {
        fleet.startPlatform();
        FleetProcesses.Node entry = fleet.newNode("entry");
        FleetProcesses.Node host = fleet.newNode("host");
        FleetProcesses.Node other = fleet.newNode("other");
        for (FleetProcesses.Node node : List.of(entry, host, other)) {
            fleet.startNode(node);
        }
        fleet.usePreset("ordinary");
        fleet.awaitReady(host, "ordinary");
        fleet.awaitReady(other, "ordinary");
        for (String service : List.of("reading", "posting")) {
            fleet.startTarget(host, service + "-a", service);
            fleet.startTarget(other, service + "-b", service);
        }
        String[] targets = {"reading-a", "reading-b", "posting-a", "posting-b"};
        fleet.awaitReady(entry, "ordinary", targets);
        return entry;
    }
}
