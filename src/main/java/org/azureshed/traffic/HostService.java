package org.azureshed.traffic;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azureshed.directory.Condition;
import org.azureshed.directory.Directory;
import org.azureshed.directory.TargetEntry;
import org.azureshed.host.CrashEvidence;
import org.azureshed.host.HostGate;
import org.azureshed.host.OfferedRequest;
import org.azureshed.host.RunResult;
import org.azureshed.poison.RequestFingerprint;

/**
 * The host side of a node: connects the gate's decisions with the exchanges that wait for them.
 * Runs on one event loop.
 */
public final class HostService {
    /** How often waiting requests are checked for their limits. */
    private static final long EXPIRY_MILLIS = 50;

    private final HostGate gate;
    private final Directory directory;
    private final EventLoop loop;
    private final ConnectionPool targetConnections;
    private final String targetAddress;
    private final HeaderNames names;
    private final TrafficEvents events;
    private final Map<Long, HostExchange> exchanges = new HashMap<>();
    private final CrashEvidence crashEvidence = new CrashEvidence();
    private Consumer<RequestFingerprint> onCrash = request -> {};
    private Consumer<Optional<TargetEntry>> onChange = entry -> {};
    private Optional<TargetEntry> published = Optional.empty();
    private Condition judged = Condition.SERVING;
    private long nextId;
    private boolean expiryScheduled;

    /**
     * Creates the host side.
     *
     * @param gate slots and queue of the local target
     * @param directory nodes and targets, for the number of targets of a service
     * @param loop event loop of all connections
     * @param targetConnections connections to the local target
     * @param targetAddress IP address and port of the local target
     * @param names headers that targets use
     * @param events hears the outcomes
     */
    public HostService(
            HostGate gate,
            Directory directory,
            EventLoop loop,
            ConnectionPool targetConnections,
            String targetAddress,
            HeaderNames names,
            TrafficEvents events) {
        this.gate = gate;
        this.directory = directory;
        this.loop = loop;
        this.targetConnections = targetConnections;
        this.targetAddress = targetAddress;
        this.names = names;
        this.events = events;
    }

    /**
     * Sets who hears when the published description of the target changes.
     *
     * @param listener receives the new description
     */
    public void onPublishedChange(Consumer<Optional<TargetEntry>> listener) {
        onChange = listener;
    }

    /**
     * Applies what the target said about itself.
     *
     * @param target the target, or empty if there is none
     */
    public void apply(Optional<TargetEntry> target) {
        if (gate.isReplacedBy(target)) {
            targetCrashed();
        }
        settle(gate.apply(target, System.nanoTime()));
        target.ifPresent(
                entry ->
                        gate.setRetryBudgetTargets(
                                Math.max(1, directory.usable(entry.service()).size())));
        publish();
    }

    /**
     * Sets who hears of the requests that were running when the target crashed.
     *
     * @param listener receives each request
     */
    public void onCrash(Consumer<RequestFingerprint> listener) {
        onCrash = listener;
    }

    /** Refuses new requests, because the node stops. */
    public void stop() {
        settle(gate.stop());
    }

    /**
     * Requests under way or waiting.
     *
     * @return their number
     */
    public int activeCount() {
        return exchanges.size();
    }

    /** Publishes a changed target, and reports a judgement that changed. */
    public void publish() {
        Condition condition = gate.condition(System.nanoTime());
        if (condition != judged) {
            events.targetJudged(
                    gate.target().map(TargetEntry::id).orElse(""),
                    condition,
                    "before",
                    judged,
                    "run_ms",
                    TimeUnit.NANOSECONDS.toMillis((long) gate.runNanos()),
                    "running",
                    gate.runningCount(),
                    "waiting",
                    gate.waitingCount());
            judged = condition;
        }
        if (!gate.target().equals(published)) {
            published = gate.target();
            onChange.accept(published);
        }
    }

    HeaderNames names() {
        return names;
    }

    TrafficEvents events() {
        return events;
    }

    EventLoop loop() {
        return loop;
    }

    HostGate gate() {
        return gate;
    }

    long newId() {
        return nextId++;
    }

    void offer(HostExchange exchange) {
        exchanges.put(exchange.offered().id(), exchange);
        exchange.settled(gate.offer(exchange.offered(), System.nanoTime()));
        scheduleExpiry();
    }

    ClientCall callTarget(long maxIdleNanos, CallListener listener) {
        return targetConnections.call(targetAddress, maxIdleNanos, listener);
    }

    void connectionBroke(RequestFingerprint request) {
        crashEvidence.connectionBroke(request, System.nanoTime());
    }

    void targetCrashed() {
        crashEvidence.targetCrashed(System.nanoTime()).forEach(onCrash);
    }

    /** Ends an exchange and gives its slot to a waiting one. */
    void finished(HostExchange exchange, RunResult result, long runNanos) {
        OfferedRequest offered = exchange.offered();
        if (exchanges.remove(offered.id()) == null) {
            return;
        }
        gate.withdraw(offered);
        settle(gate.release(offered, result, runNanos, System.nanoTime()));
        publish();
    }

    private void settle(List<HostGate.QueueDecision> settled) {
        for (HostGate.QueueDecision one : settled) {
            HostExchange exchange = exchanges.get(one.offered().id());
            if (exchange != null) {
                exchange.settled(one.decision());
            }
        }
    }

    private void scheduleExpiry() {
        if (expiryScheduled || gate.waitingCount() == 0) {
            return;
        }
        expiryScheduled = true;
        loop.schedule(
                () -> {
                    expiryScheduled = false;
                    settle(gate.expire(System.nanoTime()));
                    scheduleExpiry();
                },
                EXPIRY_MILLIS,
                TimeUnit.MILLISECONDS);
    }
}
