package org.azureshed.process;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.azureshed.platform.standin.ProtocolRequests;

/**
 * One caller on a node's VM. It keeps its connection until the node closes it, and checks each
 * answer at once.
 */
final class SoakCaller implements Runnable {
    static final long TIMEOUT_MILLIS = 4_000;
    static final long SLOW_TIMEOUT_MILLIS = 700;

    /** A node has answered by this time after a route's timeout. */
    private static final long LATE_MILLIS = 500;

    /** A configuration is in force everywhere after this time. */
    private static final long CONFIGURATION_MILLIS = 2_000;

    /** A node never goes back to an older configuration after this time. */
    private static final long ROLLBACK_MILLIS = 250;

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
        long sent = System.nanoTime();
        int status = 0;
        try {
            HttpResponse<String> answer =
                    ProtocolRequests.request(
                            client,
                            write ? "POST" : "GET",
                            fleet.entry(node),
                            prefix + id,
                            write ? "content of " + id : "",
                            id,
                            DEADLINE_MILLIS);
            status = answer.statusCode();
            check(id, prefix, answer);
            if (prefix.startsWith("/v")) {
                checkVersion(id, version, status, sent);
            }
        } catch (IOException e) {
            // Judged at the end, when it is known whether the request ran.
        }
        long end = System.nanoTime();
        journal.called(new SoakJournal.Call(node, prefix, id, sent, end, status));
        checkTimeout(id, prefix, status, sent, end);
    }

    private void check(String id, String prefix, HttpResponse<String> answer) {
        int status = answer.statusCode();
        if (status / 100 == 2) {
            if (!ProtocolRequests.isTargetResponse(answer, id)
                    || !answer.body().equals("answer to " + id)) {
                journal.violated("mixed", id + " got " + answer + " with " + answer.body());
            }
        }
        if (status == 404 && !prefix.startsWith("/v")) {
            journal.violated("denied", id + " for " + prefix);
        }
    }

    /** A node in touch knows a version in time, and no node goes back. */
    private void checkVersion(String id, SoakVersions.Version version, int status, long sent) {
        if (status == 404) {
            long age = TimeUnit.NANOSECONDS.toMillis(sent - version.acceptedNanos());
            boolean calm =
                    journal.calm(
                            node,
                            version.acceptedNanos() - SoakJournal.SETTLING_NANOS,
                            System.nanoTime());
            if (age > CONFIGURATION_MILLIS && calm && versions.newest().equals(version)) {
                journal.violated("config", id + " not known after " + age + " ms");
            }
            if (versions.seen(node, sent - TimeUnit.MILLISECONDS.toNanos(ROLLBACK_MILLIS))
                            == version.number()
                    && versions.newest().equals(version)
                    && calm) {
                journal.violated("rollback", id + " on node " + node);
            }
        } else if (status == 200) {
            versions.saw(node, version.number(), System.nanoTime());
        }
    }

    private void checkTimeout(String id, String prefix, int status, long sent, long end) {
        long limit = prefix.equals("/slow/") ? SLOW_TIMEOUT_MILLIS : TIMEOUT_MILLIS;
        long took = TimeUnit.NANOSECONDS.toMillis(end - sent);
        if (took > limit + LATE_MILLIS && journal.calm(node, sent, end)) {
            journal.violated("timeout", id + " got " + status + " after " + took + " ms");
        }
    }
}
