package org.azureshed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpClient;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.azureshed.platform.standin.ProtocolRequests;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sends signals in series to the process of a node. */
class StopSignalsIT {
    private static final long SIGNAL_INTERVAL_MILLIS = 200;
    private static final long READY_SECONDS = 20;

    /** Guards against a request that is cut off because another signal comes during the stop. */
    @ParameterizedTest
    @ValueSource(strings = {"TERM", "HUP", "TERM,HUP,TERM"})
    void signalDuringAStopCutsNoRequest(String signals) throws Exception {
        SoakJournal journal = new SoakJournal();
        try (SoakFleet fleet = new SoakFleet("signals-" + signals, 2, journal);
                HttpClient client = HttpClient.newHttpClient();
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            SoakFleet.Node node = fleet.nodes().getFirst();
            awaitReady(fleet);
            awaitServed(fleet, client);
            SoakFault.TargetFailure slow =
                    new SoakFault.TargetFailure(0, SoakFault.TargetFailureKind.SLOW, 1, 0);
            fleet.nodes().forEach(each -> each.target().setFailure(slow));
            Future<Integer> status = threads.submit(() -> status(fleet, client, "id-1"));
            TimeUnit.MILLISECONDS.sleep(SIGNAL_INTERVAL_MILLIS);
            final Future<Boolean> endedByItself = threads.submit(() -> fleet.terminate(node));
            for (String signal : signals.split(",")) {
                TimeUnit.MILLISECONDS.sleep(SIGNAL_INTERVAL_MILLIS);
                fleet.signal(node, signal);
            }
            assertEquals(200, status.get());
            assertTrue(endedByItself.get(), "the node ran until it was killed");
            assertEquals(List.of(), journal.violations());
        }
    }

    /** Guards against a node that ignores a stop which comes while it starts. */
    @ParameterizedTest
    @ValueSource(longs = {0, 100, 200, 400, 800})
    void stopDuringTheStartEndsTheNode(long delayMillis) throws Exception {
        SoakJournal journal = new SoakJournal();
        try (SoakFleet fleet = new SoakFleet("start-" + delayMillis, 1, journal)) {
            awaitReady(fleet);
            SoakFleet.Node node = fleet.nodes().getFirst();
            fleet.kill(node);
            fleet.start(node);
            TimeUnit.MILLISECONDS.sleep(delayMillis);
            assertTrue(fleet.terminate(node), "the node ran until it was killed");
            fleet.start(node);
            awaitReady(fleet);
            assertEquals(List.of(), journal.violations());
        }
    }

    private static int status(SoakFleet fleet, HttpClient client, String id) throws Exception {
        return ProtocolRequests.request(
                        client, "GET", fleet.entryAddress(0), "/read/a", "", id, 10_000)
                .statusCode();
    }

    /** Waits until the first node knows a target, which it may learn after it is ready. */
    private static void awaitServed(SoakFleet fleet, HttpClient client) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        for (int i = 0; status(fleet, client, "first-" + i) != 200; i++) {
            assertTrue(System.nanoTime() < end, "no request is served");
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private static void awaitReady(SoakFleet fleet) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        for (int i = 0; i < fleet.nodes().size(); i++) {
            while (!fleet.ready(i)) {
                assertTrue(System.nanoTime() < end, "node " + i + " is not ready");
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }
    }
}
