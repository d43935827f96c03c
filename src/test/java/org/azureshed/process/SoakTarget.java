package org.azureshed.process;

import java.io.IOException;
import java.net.BindException;
import java.net.http.HttpClient;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.platform.standin.TargetStandIn;
import org.azureshed.platform.standin.TargetStandIn.Behaviour;

/** The target of a node: sends heartbeats, serves requests, fails, leaves and is replaced. */
final class SoakTarget implements AutoCloseable {
    static final int SLOTS = 4;
    static final long HEARTBEAT_MILLIS = 500;
    static final long SLOW_RESPONSE_MILLIS = 1_500;

    /**
     * When this time has passed since a node acknowledged the departure of a target, the node must
     * send no more requests to the target.
     */
    static final long DRAIN_MILLIS = 2_000;

    private static final long ACKNOWLEDGEMENT_TIMEOUT_SECONDS = 4;
    private static final long ADDRESS_REUSE_DELAY_MILLIS = 500;
    private static final int BIND_ATTEMPTS = 100;

    /** Delay of a heartbeat that was sent before the departure, after its acknowledgement. */
    private static final long LATE_HEARTBEAT_MILLIS = 1_000;

    private final int node;
    private final String service;
    private final String ip;
    private final SoakJournal journal;
    private final HttpClient client = HttpClient.newHttpClient();
    private TargetStandIn standIn;
    private String id;
    private long startMillis;
    private long sequence;
    private int replacements;
    private volatile long departureNanos = Long.MAX_VALUE;
    private volatile boolean heartbeatsEnabled;
    private volatile boolean closed;
    private volatile SoakFault.TargetFailure failure;

    SoakTarget(int node, String service, String ip, SoakJournal journal)
            throws IOException, InterruptedException {
        this.node = node;
        this.service = service;
        this.ip = ip;
        this.journal = journal;
        replace();
        Thread.startVirtualThread(this::sendHeartbeats);
    }

    String service() {
        return service;
    }

    void setFailure(SoakFault.TargetFailure next) {
        failure = next;
    }

    /** Closes the target without notice to the node. */
    synchronized void crash() throws IOException {
        heartbeatsEnabled = false;
        standIn.close();
    }

    /** Starts another target at the same address. */
    synchronized void replace() throws IOException, InterruptedException {
        id = "t-" + node + '-' + replacements++;
        startMillis = System.currentTimeMillis();
        sequence = 0;
        departureNanos = Long.MAX_VALUE;
        String name = id;
        standIn = listen(name);
        heartbeatsEnabled = true;
    }

    /** Retries, since the port of a listener that was just closed may stay in use briefly. */
    private TargetStandIn listen(String name) throws IOException, InterruptedException {
        for (int attempt = 0; ; attempt++) {
            try {
                return new TargetStandIn(
                        ip, SoakFleet.TARGET_PORT, name, request -> chooseBehaviour(name, request));
            } catch (BindException e) {
                if (attempt == BIND_ATTEMPTS) {
                    throw e;
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }

    /**
     * Announces the departure or deregisters, serves for the drain time, and is replaced. A
     * heartbeat that it sent before arrives in between.
     */
    void depart(boolean announced) throws Exception {
        heartbeatsEnabled = false;
        String lateHeartbeat = heartbeatBody("ready");
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(ACKNOWLEDGEMENT_TIMEOUT_SECONDS);
        boolean acknowledged = false;
        while (!acknowledged && System.nanoTime() < end && !closed) {
            acknowledged = announced ? heartbeat("draining") : deregister();
        }
        if (acknowledged) {
            departureNanos = System.nanoTime();
        }
        TimeUnit.MILLISECONDS.sleep(LATE_HEARTBEAT_MILLIS);
        callNode("PUT", id, lateHeartbeat);
        TimeUnit.MILLISECONDS.sleep(
                DRAIN_MILLIS + ADDRESS_REUSE_DELAY_MILLIS - LATE_HEARTBEAT_MILLIS);
        if (announced) {
            deregister();
        }
        crash();
        replace();
    }

    private void sendHeartbeats() {
        try {
            while (!closed) {
                if (heartbeatsEnabled) {
                    heartbeat("ready");
                }
                TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean heartbeat(String state) throws InterruptedException {
        String body;
        String name;
        synchronized (this) {
            name = id;
            body = heartbeatBody(state);
        }
        return callNode("PUT", name, body);
    }

    private synchronized String heartbeatBody(String state) {
        return ProtocolRequests.heartbeat(
                ip + ':' + SoakFleet.TARGET_RELAY_PORT,
                service,
                SLOTS,
                state,
                ++sequence,
                startMillis);
    }

    private boolean deregister() throws InterruptedException {
        return callNode("DELETE", id, "");
    }

    private boolean callNode(String method, String name, String body) throws InterruptedException {
        try {
            String address = ip + ':' + SoakFleet.CONTROL_PORT;
            return ProtocolRequests.call(client, method, address, "/instances/" + name, body)
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            // The node is down or paused; the caller may try again.
            TimeUnit.MILLISECONDS.sleep(100);
            return false;
        }
    }

    private Behaviour chooseBehaviour(String name, TargetStandIn.Request request) {
        String path = request.line().split(" ")[1];
        SoakFault.TargetFailure activeFailure = failure;
        SplittableRandom random = new SplittableRandom(ThreadLocalRandom.current().nextLong());
        boolean fails = activeFailure != null && random.nextDouble() < activeFailure.probability();
        if (fails && activeFailure.kind() == SoakFault.TargetFailureKind.SHEDS) {
            return new Behaviour.Shed();
        }
        boolean copies = fails && activeFailure.kind() == SoakFault.TargetFailureKind.COPIES;
        if (copies && random.nextInt(4) == 0) {
            return copied(503, 0, "", activeFailure, name, request);
        }
        long now = System.nanoTime();
        journal.recordRun(request.requestId(), new SoakJournal.Run(name, node, path, now));
        checkDeparture(name, request.requestId(), now);
        String body = "answer to " + request.requestId();
        long workMillis =
                path.startsWith("/slow/") ? SLOW_RESPONSE_MILLIS : 2 + random.nextLong(60);
        if (!fails) {
            return new Behaviour.Answer(200, workMillis, body);
        }
        return switch (activeFailure.kind()) {
            case RESETS -> new Behaviour.Reset();
            case TRUNCATED -> new Behaviour.Truncated();
            case GARBAGE -> new Behaviour.Garbage();
            case COPIES ->
                    random.nextBoolean()
                            ? copied(200, workMillis, body, activeFailure, name, request)
                            : copied(500, workMillis, "", activeFailure, name, request);
            case TWICE -> new Behaviour.Twice(body);
            case NO_RESPONSE -> new Behaviour.NoAnswer();
            case SLOW -> new Behaviour.Answer(200, workMillis + SLOW_RESPONSE_MILLIS, body);
            default -> new Behaviour.Answer(500, workMillis, "");
        };
    }

    /** Answers twice; half of the second answers end at a byte of the head, some come later. */
    private static Behaviour copied(
            int status,
            long millis,
            String body,
            SoakFault.TargetFailure failure,
            String name,
            TargetStandIn.Request request) {
        SplittableRandom random =
                new SplittableRandom(
                        Objects.hash(failure.probability(), name, request.requestId()));
        double share = random.nextBoolean() ? 1 : random.nextDouble();
        return new Behaviour.CutCopy(status, millis, body, share, random.nextLong(-3, 4));
    }

    private void checkDeparture(String name, String requestId, long now) {
        boolean afterDrain = now - departureNanos > TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS);
        if (afterDrain && departureNanos != Long.MAX_VALUE && name.equals(id)) {
            journal.recordViolation(
                    "drain", requestId + " ran at " + name + " after its departure");
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        crash();
        client.shutdownNow();
    }
}
