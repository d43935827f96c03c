package org.azureshed.process;

import java.io.IOException;
import java.net.BindException;
import java.net.http.HttpClient;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.platform.standin.TargetStandIn;
import org.azureshed.platform.standin.TargetStandIn.Behaviour;

/** The target beside a node: announces itself, serves, fails, leaves and is replaced. */
final class SoakTarget implements AutoCloseable {
    static final int SLOTS = 4;
    static final long HEARTBEAT_MILLIS = 500;
    static final long SLOW_MILLIS = 1_500;

    /** The node's acknowledgement binds after this time. */
    static final long DRAIN_MILLIS = 2_000;

    private static final long ACKNOWLEDGEMENT_SECONDS = 4;
    private static final long REUSE_MILLIS = 500;
    private static final int BIND_ATTEMPTS = 100;

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
    private volatile long leftNanos = Long.MAX_VALUE;
    private volatile boolean announces;
    private volatile boolean closed;
    private volatile SoakFault.TargetFails trouble;

    SoakTarget(int node, String service, String ip, SoakJournal journal)
            throws IOException, InterruptedException {
        this.node = node;
        this.service = service;
        this.ip = ip;
        this.journal = journal;
        replace();
        Thread.startVirtualThread(this::announce);
    }

    String service() {
        return service;
    }

    void trouble(SoakFault.TargetFails next) {
        trouble = next;
    }

    /** Ends the target without notice. */
    synchronized void crash() throws IOException {
        announces = false;
        standIn.close();
    }

    /** Starts another target at the same address. */
    synchronized void replace() throws IOException, InterruptedException {
        id = "t-" + node + '-' + replacements++;
        startMillis = System.currentTimeMillis();
        sequence = 0;
        leftNanos = Long.MAX_VALUE;
        String name = id;
        standIn = listen(name);
        announces = true;
    }

    /** The port of a listener that was just closed may be taken for a moment. */
    private TargetStandIn listen(String name) throws IOException, InterruptedException {
        for (int attempt = 0; ; attempt++) {
            try {
                return new TargetStandIn(
                        ip, SoakFleet.TARGET_PORT, name, request -> run(name, request));
            } catch (BindException e) {
                if (attempt == BIND_ATTEMPTS) {
                    throw e;
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }

    /** Announces the departure, serves on for the drain time, and is replaced. */
    void leave(boolean announced) throws Exception {
        announces = false;
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(ACKNOWLEDGEMENT_SECONDS);
        boolean acknowledged = false;
        while (!acknowledged && System.nanoTime() < end && !closed) {
            acknowledged = announced ? heartbeat("draining") : departure();
        }
        if (acknowledged) {
            leftNanos = System.nanoTime();
        }
        TimeUnit.MILLISECONDS.sleep(DRAIN_MILLIS + REUSE_MILLIS);
        if (announced) {
            departure();
        }
        crash();
        replace();
    }

    private void announce() {
        try {
            while (!closed) {
                if (announces) {
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
            body =
                    ProtocolRequests.heartbeat(
                            ip + ':' + SoakFleet.TARGET_RELAY_PORT,
                            service,
                            SLOTS,
                            state,
                            ++sequence,
                            startMillis);
        }
        return control("PUT", name, body);
    }

    private boolean departure() throws InterruptedException {
        return control("DELETE", id, "");
    }

    private boolean control(String method, String name, String body) throws InterruptedException {
        try {
            String address = ip + ':' + SoakFleet.CONTROL_PORT;
            return ProtocolRequests.call(client, method, address, "/instances/" + name, body)
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            // The node is down or paused; the target asks again.
            TimeUnit.MILLISECONDS.sleep(100);
            return false;
        }
    }

    private Behaviour run(String name, TargetStandIn.Request request) {
        String path = request.line().split(" ")[1];
        SoakFault.TargetFails present = trouble;
        SplittableRandom random = new SplittableRandom(ThreadLocalRandom.current().nextLong());
        boolean fails = present != null && random.nextDouble() < present.share();
        if (fails && present.trouble() == SoakFault.TargetTrouble.SHEDS) {
            return new Behaviour.Shed();
        }
        long now = System.nanoTime();
        journal.ran(request.requestId(), new SoakJournal.Run(name, node, path, now));
        checkDeparture(name, request.requestId(), now);
        String body = "answer to " + request.requestId();
        long work = path.startsWith("/slow/") ? SLOW_MILLIS : 2 + random.nextLong(60);
        if (!fails) {
            return new Behaviour.Answer(200, work, body);
        }
        return switch (present.trouble()) {
            case RESETS -> new Behaviour.Reset();
            case TRUNCATED -> new Behaviour.Truncated();
            case GARBAGE -> new Behaviour.Garbage();
            case TWICE -> new Behaviour.Twice(body);
            case MUTE -> new Behaviour.NoAnswer();
            case SLOW -> new Behaviour.Answer(200, work + SLOW_MILLIS, body);
            default -> new Behaviour.Answer(500, work, "");
        };
    }

    private void checkDeparture(String name, String requestId, long now) {
        boolean late = now - leftNanos > TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS);
        if (late && leftNanos != Long.MAX_VALUE && name.equals(id)) {
            journal.violated("drain", requestId + " ran at " + name + " after its departure");
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        crash();
        client.shutdownNow();
    }
}
