package org.azureshed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Stops a node or a target with SIGTERM while requests run. Guards against planned stops that
 * interrupt running requests, and against nodes that still send requests to a draining target
 * because the announcement reaches them late.
 */
class PlannedStopIT {
    private static final long DOWNLOAD_BYTES = 24L << 20;
    private static final int CHUNK_BYTES = 1 << 20;
    private static final int CHUNK_INTERVAL_MILLIS = 400;
    private static final long EXIT_TIMEOUT_SECONDS = 40;
    private static final Duration MAX_DRAIN_ANNOUNCEMENT = Duration.ofSeconds(3);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    /** Target a is on the node host, which stops in one of the cases, target b on another node. */
    @ParameterizedTest(name = "stop of the {0} node")
    @ValueSource(strings = {"entry", "host"})
    void plannedStopInterruptsNoRequest(String stopped) throws Exception {
        try (FleetProcesses fleet = new FleetProcesses("stop-" + stopped);
                var executor = Executors.newVirtualThreadPerTaskExecutor()) {
            FleetProcesses.Node entry = fleet.newNode("entry");
            FleetProcesses.Node host = fleet.newNode("host");
            FleetProcesses.Node other = fleet.newNode("other");
            start(fleet, entry, host, other);
            FleetProcesses.Node survivor = stopped.equals("entry") ? other : entry;
            Future<Long> download = executor.submit(slowDownload(entry));
            try (LoadGenerator entryLoad =
                            new LoadGenerator(
                                    fleet.client(), entry.uri("/chapters/1"), REQUEST_TIMEOUT);
                    LoadGenerator survivorLoad =
                            new LoadGenerator(
                                    fleet.client(), survivor.uri("/chapters/1"), REQUEST_TIMEOUT)) {
                entryLoad.failOverTo(survivor.uri("/chapters/1"));
                TimeUnit.SECONDS.sleep(2);
                assertFalse(download.isDone(), "the download ended before the stop");
                fleet.process(stopped).destroy();
                TimeUnit.SECONDS.sleep(2);
                assertEquals(DOWNLOAD_BYTES, download.get(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertTrue(fleet.process(stopped).waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                entryLoad.stop();
                survivorLoad.stop();
                assertEquals(List.of(), entryLoad.matching(result -> !result.ok()));
                assertEquals(List.of(), survivorLoad.matching(result -> !result.ok()));
            }
            assertEquals(
                    200,
                    fleet.getStatusCode(survivor.uri("/chapters/2")),
                    "status from the surviving node");
        }
    }

    private static void start(FleetProcesses fleet, FleetProcesses.Node... nodes) throws Exception {
        fleet.startPlatform();
        for (FleetProcesses.Node node : nodes) {
            fleet.startNode(node);
        }
        fleet.usePreset("ordinary");
        FleetProcesses.Node host = nodes[1];
        FleetProcesses.Node other = nodes[2];
        fleet.awaitReady(host, "ordinary");
        fleet.awaitReady(other, "ordinary");
        fleet.startTarget(host, "a", "reading");
        fleet.startTarget(other, "b", "reading");
        for (FleetProcesses.Node node : nodes) {
            fleet.awaitReady(node, "ordinary", "a", "b");
        }
    }

    /** Downloads an export with a pause after each chunk, which takes about ten seconds. */
    private static Callable<Long> slowDownload(FleetProcesses.Node entry) {
        return () -> {
            try (Socket socket = new Socket("127.0.0.1", entry.entryPort())) {
                socket.setSoTimeout(20_000);
                String request =
                        "GET /exports/1?bytes=%d HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                                .formatted(DOWNLOAD_BYTES);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                return readBody(socket.getInputStream());
            }
        };
    }

    /** Skips the response head and returns the length of the body. */
    private static long readBody(InputStream input) throws Exception {
        int matchedBytes = 0;
        while (matchedBytes < 4) {
            int next = input.read();
            if (next < 0) {
                throw new AssertionError("connection closed before the end of the response head");
            }
            boolean isExpected = next == (matchedBytes % 2 == 0 ? '\r' : '\n');
            matchedBytes = isExpected ? matchedBytes + 1 : 0;
        }
        long bodyBytes = 0;
        int chunkBytes;
        while ((chunkBytes = input.readNBytes(CHUNK_BYTES).length) > 0) {
            bodyBytes += chunkBytes;
            TimeUnit.MILLISECONDS.sleep(CHUNK_INTERVAL_MILLIS);
        }
        return bodyBytes;
    }

    /** Nodes must learn that a target drains even while the platform is paused or killed. */
    @ParameterizedTest(name = "platform {0}")
    @ValueSource(strings = {"up", "stopped", "killed"})
    void drainingTargetGetsNoNewRequest(String platform) throws Exception {
        try (FleetProcesses fleet = new FleetProcesses("drain-" + platform)) {
            FleetProcesses.Node entry = fleet.newNode("entry");
            FleetProcesses.Node host = fleet.newNode("host");
            FleetProcesses.Node other = fleet.newNode("other");
            start(fleet, entry, host, other);
            if (platform.equals("stopped")) {
                fleet.signal("STOP", "platform");
            } else if (platform.equals("killed")) {
                fleet.kill("platform");
            }
            Duration timeout = REQUEST_TIMEOUT.plusSeconds(1);
            try (LoadGenerator entryLoad =
                            new LoadGenerator(fleet.client(), entry.uri("/chapters/1"), timeout);
                    LoadGenerator hostLoad =
                            new LoadGenerator(fleet.client(), host.uri("/chapters/1"), timeout);
                    LoadGenerator otherLoad =
                            new LoadGenerator(fleet.client(), other.uri("/chapters/1"), timeout)) {
                TimeUnit.SECONDS.sleep(1);
                // The target announces its state each second and exits when its requests are done.
                fleet.signal("TERM", "a");
                assertFalse(
                        entryLoad.matching(PlannedStopIT::isFromTargetA).isEmpty(),
                        "target a served no request before it drained");
                TimeUnit.SECONDS.sleep(MAX_DRAIN_ANNOUNCEMENT.toSeconds());
                List<LoadGenerator> loads = List.of(entryLoad, hostLoad, otherLoad);
                List<Integer> countsAfterAnnouncement =
                        loads.stream().map(load -> load.results().size()).toList();
                TimeUnit.SECONDS.sleep(2);
                for (int i = 0; i < loads.size(); i++) {
                    LoadGenerator load = loads.get(i);
                    List<LoadGenerator.Result> resultsAfterAnnouncement =
                            load.results()
                                    .subList(
                                            countsAfterAnnouncement.get(i) + 1,
                                            load.results().size());
                    assertFalse(resultsAfterAnnouncement.isEmpty(), "no request was answered");
                    assertEquals(
                            List.of(),
                            resultsAfterAnnouncement.stream()
                                    .filter(PlannedStopIT::isFromTargetA)
                                    .toList());
                    assertEquals(List.of(), load.matching(result -> !result.ok()));
                }
            }
        }
    }

    private static boolean isFromTargetA(LoadGenerator.Result result) {
        return result.body().contains("\"target\":\"a\"");
    }
}
