package org.azureshed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import org.azureshed.platform.standin.ProtocolRequests;

/** The target beside a node: answers requests, and tells its node of itself. */
final class TargetParty {
    private static final int SLOTS = 8;

    /** Time in which a call must be acknowledged. */
    private static final long ACKNOWLEDGEMENT_MILLIS = 1_000;

    /** Time for which a target serves after its departure was acknowledged. */
    static final long DRAIN_MILLIS = 2_000;

    /** Time after which a target that gets no acknowledgement exits. */
    private static final long MAX_ASKING_MILLIS = 4_000;

    /** Time after which the address of a target that has ended is used again. */
    private static final long REUSE_MILLIS = 2_000;

    private final int node;
    private final VirtualTime time;
    private final SimulatedNetwork network;
    private final Journal journal;
    private final IntFunction<Long> processStarts;
    private final SplittableRandom random;
    private final List<TargetConnection> connections = new ArrayList<>();
    private String service;
    private int starts;
    private String id;
    private long startMillis;
    private long sequence;
    private boolean up;
    private boolean leaving;
    private boolean known;
    private Action.Answering answering;
    private int oneIn = 1;

    /**
     * Creates a target that is not running.
     *
     * @param processStarts time of the start of a node's process, by node
     */
    TargetParty(
            int node,
            String service,
            VirtualTime time,
            SimulatedNetwork network,
            Journal journal,
            IntFunction<Long> processStarts) {
        this.node = node;
        this.service = service;
        this.time = time;
        this.network = network;
        this.journal = journal;
        this.processStarts = processStarts;
        this.random = new SplittableRandom(node);
    }

    String service() {
        return service;
    }

    boolean isUp() {
        return up;
    }

    boolean isLeaving() {
        return leaving;
    }

    String name() {
        return id + '/' + startMillis;
    }

    String id() {
        return id;
    }

    /** Starts the target, or another one at its address. */
    void start(boolean sameId) {
        if (!sameId || id == null) {
            id = "i-" + node + '-' + starts++;
        }
        up = true;
        leaving = false;
        known = false;
        sequence = 0;
        startMillis = SimulatedSystem.START_MILLIS + time.millis();
        network.bind(Addresses.socket(Addresses.node(node), Addresses.TARGET_PORT), this::accept);
        heartbeats(startMillis);
    }

    private ConnectionEnd.Listener accept(ConnectionEnd end) {
        TargetConnection connection = new TargetConnection(this, end);
        connections.add(connection);
        return connection;
    }

    void forget(TargetConnection connection) {
        connections.remove(connection);
    }

    private void heartbeats(long start) {
        if (up && !leaving && start == startMillis) {
            call("PUT", heartbeat("ready"), 0, () -> acknowledged(start));
            time.afterMillis(Addresses.HEARTBEAT_MILLIS, () -> heartbeats(start));
        }
    }

    private void acknowledged(long start) {
        if (up && start == startMillis && !known) {
            known = true;
            journal.tenure(new Journal.Tenure(node, service, time.millis(), Long.MAX_VALUE));
        }
    }

    private String heartbeat(String state) {
        return ProtocolRequests.heartbeat(
                Addresses.node(node) + ':' + Addresses.TARGET_PORT,
                service,
                SLOTS,
                state,
                ++sequence,
                startMillis);
    }

    /** Ends the target without notice. */
    void crash() {
        if (up) {
            up = false;
            journal.endTenure(node, time.millis());
            String ip = Addresses.node(node);
            network.unbind(Addresses.socket(ip, Addresses.TARGET_PORT));
            List.copyOf(connections).forEach(TargetConnection::close);
            connections.clear();
        }
    }

    /** Ends the target and starts another one later, maybe of another service. */
    void crashAndReturn(long downMillis, boolean sameId, String nextService) {
        crash();
        time.afterMillis(
                Math.max(sameId ? 0 : REUSE_MILLIS, downMillis),
                () -> {
                    if (!up) {
                        service = nextService;
                        start(sameId);
                    }
                });
    }

    /** Leaves as planned; another target follows. */
    void leave(Action.Leave action) {
        if (!up || leaving) {
            return;
        }
        leaving = true;
        long since = time.millis();
        boolean draining = action.leaving() == Action.Leaving.DRAINING;
        String method = draining ? "PUT" : "DELETE";
        ask(
                method,
                action.leaving() == Action.Leaving.DELETE_WITHOUT_BODY
                        ? ""
                        : draining ? null : "{\"born\":" + startMillis + "}",
                since,
                startMillis,
                action);
    }

    private void ask(
            String method, String body, long sinceMillis, long start, Action.Leave action) {
        if (!up || start != startMillis) {
            return;
        }
        if (time.millis() - sinceMillis > MAX_ASKING_MILLIS) {
            exit(action);
            return;
        }
        boolean[] acknowledged = {false};
        call(
                method,
                body == null ? heartbeat("draining") : body,
                0,
                () -> {
                    if (!acknowledged[0] && up && start == startMillis) {
                        acknowledged[0] = true;
                        long processStart = processStarts.apply(node);
                        journal.departure(
                                new Journal.Departure(name(), node, processStart, time.millis()));
                        time.afterMillis(
                                DRAIN_MILLIS + action.servesMillis(),
                                () -> {
                                    if (start == startMillis) {
                                        exit(action);
                                    }
                                });
                    }
                });
        time.afterMillis(
                ACKNOWLEDGEMENT_MILLIS,
                () -> {
                    if (!acknowledged[0]) {
                        ask(method, body, sinceMillis, start, action);
                    }
                });
    }

    private void exit(Action.Leave action) {
        if (up) {
            if (action.leaving() == Action.Leaving.DRAINING) {
                call("DELETE", "{\"born\":" + startMillis + "}", 0, () -> {});
            }
            crashAndReturn(REUSE_MILLIS, action.sameId(), service);
        }
    }

    /** Calls the node; the acknowledgement counts only if it comes in time. */
    private void call(String method, String body, long delayMillis, Runnable onAcknowledged) {
        String request = HttpText.request(method, "/instances/" + id, "", body);
        Runnable send =
                () -> {
                    long sentMillis = time.millis();
                    Runnable inTime =
                            () -> {
                                if (time.millis() - sentMillis <= ACKNOWLEDGEMENT_MILLIS) {
                                    onAcknowledged.run();
                                }
                            };
                    new ControlCall(network, time, node, request, inTime);
                };
        time.afterMillis(delayMillis, send);
    }

    /** Sends a heartbeat that arrives late, maybe after others and after the target's end. */
    void sendLateHeartbeat(long delayMillis) {
        if (up && !leaving) {
            call("PUT", heartbeat("ready"), delayMillis, () -> {});
        }
    }

    void misbehave(Action.Misbehave action) {
        answering = action.answering();
        oneIn = action.oneIn();
        Action.Answering begun = answering;
        time.afterMillis(
                action.millis(),
                () -> {
                    if (answering == begun) {
                        answering = null;
                    }
                });
    }

    /** How the next request is answered; null as usual. */
    Action.Answering nextAnswering() {
        return answering != null && random.nextInt(oneIn) == 0 ? answering : null;
    }

    VirtualTime time() {
        return time;
    }

    SplittableRandom random() {
        return random;
    }

    /** Records that a request begins to run and returns the run. */
    Journal.Run run(HttpReader.Message request, int status, boolean sound) {
        int number = journal.runCount();
        String body = status == 200 ? TargetAnswers.body(number, request.requestId()) : "";
        Journal.Run run =
                new Journal.Run(
                        name(), node, service, number, request, status, body, sound, time.millis());
        journal.run(run);
        return run;
    }
}
