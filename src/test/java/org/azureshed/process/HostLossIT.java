package org.azureshed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Kills or pauses the node that hosts some of the targets while requests run. Guards against page
 * requests that fail although another node has a target for them, and against submissions that end
 * without a stated outcome.
 */
class HostLossIT {
    /** Deadline of the class page in the preset, with time to deliver the response. */
    private static final long MAX_PAGE_MILLIS = 5_000 + 1_000;

    /** Deadline of the class submission in the preset, with time to deliver the response. */
    private static final Duration SUBMISSION_TIMEOUT = Duration.ofSeconds(12);

    private static final long LOSS_SECONDS = 8;

    @Test
    void killedHostNode() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses("kill")) {
            FleetProcesses.Node entry = start(fleet);
            try (LoadGenerator pageLoad = startPageLoad(fleet, entry);
                    LoadGenerator submissionLoad =
                            new LoadGenerator(
                                    fleet.client(),
                                    entry.uri("/stories"),
                                    SUBMISSION_TIMEOUT,
                                    true)) {
                TimeUnit.SECONDS.sleep(1);
                fleet.kill("host");
                TimeUnit.SECONDS.sleep(LOSS_SECONDS);
                pageLoad.stop();
                submissionLoad.stop();
                assertEquals(List.of(), pageLoad.matching(result -> !result.ok()));
                assertEquals(List.of(), submissionLoad.matching(result -> !result.hasOutcome()));
            }
            assertEquals(200, fleet.getStatusCode(entry.uri("/chapters/2")));
        }
    }

    @Test
    void pausedHostNode() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses("pause")) {
            FleetProcesses.Node entry = start(fleet);
            try (LoadGenerator firstLoad = startPageLoad(fleet, entry);
                    LoadGenerator secondLoad = startPageLoad(fleet, entry)) {
                TimeUnit.SECONDS.sleep(1);
                fleet.signal("STOP", "host");
                int resultsBeforePause = firstLoad.results().size();
                TimeUnit.SECONDS.sleep(LOSS_SECONDS);
                fleet.signal("CONT", "host");
                firstLoad.stop();
                secondLoad.stop();
                for (LoadGenerator load : List.of(firstLoad, secondLoad)) {
                    assertEquals(List.of(), load.matching(result -> !result.ok()));
                    assertEquals(
                            List.of(), load.matching(result -> result.millis() > MAX_PAGE_MILLIS));
                }
                List<LoadGenerator.Result> resultsSincePause =
                        firstLoad.results().subList(resultsBeforePause, firstLoad.results().size());
                assertFalse(resultsSincePause.isEmpty());
                assertTrue(
                        resultsSincePause.stream()
                                .anyMatch(result -> result.body().contains("\"reading-b\"")),
                        "no request was served by the target on the other node");
            }
            assertEquals(200, fleet.getStatusCode(entry.uri("/chapters/2")));
        }
    }

    private static LoadGenerator startPageLoad(FleetProcesses fleet, FleetProcesses.Node entry) {
        return new LoadGenerator(fleet.client(), entry.uri("/chapters/1"), Duration.ofSeconds(10));
    }

    /** The targets with suffix -a are on the node that fails, those with -b on another one. */
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
