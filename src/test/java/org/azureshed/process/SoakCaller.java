package org.azureshed.process;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.azureshed.platform.standin.ProtocolRequests;

/**
 * A caller on the VM of one node. It keeps its connection open until the node closes it, and checks
 * each response immediately.
 */
final class SoakCaller implements Runnable {
    static final long ROUTE_TIMEOUT_MILLIS = 4_000;
    static final long SLOW_ROUTE_TIMEOUT_MILLIS = 700;

    /** A node responds at the latest this long after the timeout of the route. */
    private static final long TIMEOUT_TOLERANCE_MILLIS = 500;

    /** Time after which all nodes use a new configuration. */
    private static final long MAX_CONFIGURATION_DELAY_MILLIS = 2_000;

    /** A node that has used a configuration for this long must not return to an older one. */
    private static final long ROLLBACK_TOLERANCE_MILLIS = 250;

    private static final long DEADLINE_MILLIS = 6_000;
    private static final long MAX_PAUSE_MILLIS = 60;

    private final int node;
    private final String name;
    private final SoakFleet fleet;
    private final SoakJournal journal;
    private final SoakVersions versions;
    private final SplittableRandom random;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private volatile boolean stopped;

    SoakCaller(
            int node,
            String name,
            SoakFleet fleet,
            SoakJournal journal,
            SoakVersions versions,
            SplittableRandom random) {
        this.node = node;
        this.name = name;
        this.fleet = fleet;
        this.journal = journal;
        this.versions = versions;
        this.random = random;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            for (int i = 0; !stopped; i++) {
                call(name + '-' + i);
                TimeUnit.MILLISECONDS.sleep(random.nextLong(MAX_PAUSE_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            client.shutdownNow();
        }
    }

    private void call(String id) throws InterruptedException {
        SoakVersions.Version version = versions.newest();
        String prefix =
                switch (random.nextInt(10)) {
                    case 0 -> "/v" + version.number() + '/';
                    case 1 -> "/slow/";
                    case 2, 3 -> "/kiosk/";
                    case 4, 5, 6 -> "/read/";
                    default -> "/write/";
                };
        boolean write = prefix.equals("/write/") || prefix.equals("/kiosk/");
        long sentNanos = System.nanoTime();
        int status = 0;
        try {
            HttpResponse<String> response =
                    ProtocolRequests.request(
                            client,
                            write ? "POST" : "GET",
                            fleet.entryAddress(node),
                            prefix + id,
                            write ? "content of " + id : "",
                            id,
                            DEADLINE_MILLIS);
            status = response.statusCode();
            checkResponse(id, prefix, response);
            if (prefix.startsWith("/v")) {
                checkVersion(id, version, status, sentNanos);
            }
        } catch (IOException e) {
            // SoakChecker checks this at the end, when it is known whether the request ran.
        }
        long endNanos = System.nanoTime();
        journal.recordCall(new SoakJournal.Call(node, prefix, id, sentNanos, endNanos, status));
        checkTimeout(id, prefix, status, sentNanos, endNanos);
    }

    private void checkResponse(String id, String prefix, HttpResponse<String> response) {
        int status = response.statusCode();
        if (status / 100 == 2) {
            if (!ProtocolRequests.isTargetResponse(response, id)
                    || !response.body().equals("answer to " + id)) {
                journal.recordViolation(
                        "mixed", id + " got " + response + " with " + response.body());
            }
        }
        if (status == 404 && !prefix.startsWith("/v")) {
            journal.recordViolation("denied", id + " for " + prefix);
        }
    }

    /** Checks that an undisturbed node uses a new version in time and keeps it. */
    private void checkVersion(String id, SoakVersions.Version version, int status, long sentNanos) {
        if (status == 404) {
            long ageMillis = TimeUnit.NANOSECONDS.toMillis(sentNanos - version.acceptedNanos());
            boolean undisturbed =
                    journal.undisturbed(
                            node,
                            version.acceptedNanos() - SoakJournal.SETTLING_NANOS,
                            System.nanoTime());
            // A disturbance while the version was stored excuses a node only until it has settled.
            boolean settled = journal.undisturbed(node, sentNanos, System.nanoTime());
            if (ageMillis > MAX_CONFIGURATION_DELAY_MILLIS
                    && settled
                    && versions.newest().equals(version)) {
                journal.recordViolation("config", id + " not known after " + ageMillis + " ms");
            }
            if (versions.observedVersion(
                                    node,
                                    sentNanos
                                            - TimeUnit.MILLISECONDS.toNanos(
                                                    ROLLBACK_TOLERANCE_MILLIS))
                            == version.number()
                    && versions.newest().equals(version)
                    && undisturbed) {
                journal.recordViolation("rollback", id + " on node " + node);
            }
        } else if (status == 200) {
            versions.recordObservation(node, version.number(), System.nanoTime());
        }
    }

    private void checkTimeout(String id, String prefix, int status, long sentNanos, long endNanos) {
        long timeoutMillis =
                prefix.equals("/slow/") ? SLOW_ROUTE_TIMEOUT_MILLIS : ROUTE_TIMEOUT_MILLIS;
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - sentNanos);
        if (elapsedMillis > timeoutMillis + TIMEOUT_TOLERANCE_MILLIS
                && journal.undisturbed(node, sentNanos, endNanos)) {
            journal.recordViolation(
                    "timeout", id + " got " + status + " after " + elapsedMillis + " ms");
        }
    }
}
