package org.azureshed.traffic;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azureshed.directory.Condition;
import org.azureshed.directory.Directory;
import org.azureshed.directory.TargetEntry;
import org.azureshed.host.AdmissionDecision;
import org.azureshed.host.CrashEvidence;
import org.azureshed.host.HostGate;
import org.azureshed.host.OfferedRequest;
import org.azureshed.host.RunResult;
import org.azureshed.model.Endpoint;
import org.azureshed.poison.RequestFingerprint;

/**
 * The host side of a node: passes the gate's decisions to the exchanges that wait for them. Runs on
 * one event loop.
 */
public final class HostService {
    /** Interval at which queued requests are checked for their deadlines. */
    private static final long EXPIRY_MILLIS = 50;

    /** Interval of checks for a mute target while requests run. */
    private static final long SILENCE_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final HostGate gate;
    private final Directory directory;
    private final EventLoop loop;
    private final ConnectionPool targetConnections;
    private final Endpoint targetAddress;
    private final HeaderNames names;
    private final BodyMemory bodyMemory;
    private final TrafficEvents events;
    private final Map<Long, HostExchange> exchanges = new HashMap<>();
    private final CrashEvidence crashEvidence = new CrashEvidence();
    private Consumer<RequestFingerprint> onCrash = request -> {};
    private Consumer<Optional<TargetEntry>> onChange = entry -> {};
    private Optional<TargetEntry> published = Optional.empty();
    private Condition lastCondition = Condition.SERVING;
    private long nextId;
    private boolean expiryScheduled;
    private boolean silenceCheckScheduled;
    private long lastSilenceCheckNanos;

    /**
     * Creates the host side.
     *
     * @param gate slots and queue of the local target
     * @param directory known nodes, for the number of targets of a service
     * @param loop event loop of all connections
     * @param targetConnections connections to the local target
     * @param targetAddress endpoint of the local target
     * @param names headers that targets use
     * @param bodyMemory memory for the bodies of requests
     * @param events receives the outcomes
     */
    public HostService(
            HostGate gate,
            Directory directory,
            EventLoop loop,
            ConnectionPool targetConnections,
            Endpoint targetAddress,
            HeaderNames names,
            BodyMemory bodyMemory,
            TrafficEvents events) {
        this.gate = gate;
        this.directory = directory;
        this.loop = loop;
        this.targetConnections = targetConnections;
        this.targetAddress = targetAddress;
        this.names = names;
        this.bodyMemory = bodyMemory;
        this.events = events;
    }

    /**
     * Sets the listener for changes of the target that this node publishes.
     *
     * @param listener receives the new entry, or empty if there is no target
     */
    public void onPublishedChange(Consumer<Optional<TargetEntry>> listener) {
        onChange = listener;
    }

    /**
     * Applies the current state of the local target.
     *
     * @param target the target, or empty if there is none
     */
    public void apply(Optional<TargetEntry> target) {
        if (gate.isReplacedBy(target)) {
            targetCrashed();
        }
        notifyExchanges(gate.apply(target, System.nanoTime()));
        target.ifPresent(
                entry ->
                        gate.setRetryBudgetTargets(
                                Math.max(1, directory.usable(entry.service()).size())));
        publish();
    }

    /**
     * Sets the listener for requests that were running when the target crashed.
     *
     * @param listener receives each request
     */
    public void onCrash(Consumer<RequestFingerprint> listener) {
        onCrash = listener;
    }

    /** Refuses queued and new requests, because the node drains. */
    public void stop() {
        notifyExchanges(gate.stop());
    }

    /**
     * Returns the number of requests that are queued or in flight.
     *
     * @return 0 when the host side is idle
     */
    public int activeCount() {
        return exchanges.size();
    }

    /** Reports a changed condition of the target, and publishes a changed target entry. */
    public void publish() {
        Condition condition = gate.condition(System.nanoTime());
        if (condition != lastCondition) {
            events.targetConditionChanged(
                    gate.target().map(TargetEntry::id).orElse(""),
                    condition,
                    "before",
                    lastCondition,
                    "run_ms",
                    TimeUnit.NANOSECONDS.toMillis((long) gate.runNanos()),
                    "running",
                    gate.runningCount(),
                    "waiting",
                    gate.waitingCount());
            lastCondition = condition;
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
        // Before the gate, which would spend a slot and a part of the retry budget on it.
        AdmissionDecision decision =
                bodyMemory.fits(exchange.bodyBytes())
                        ? gate.offer(exchange.offered(), System.nanoTime())
                        : HostExchange.NO_MEMORY;
        exchange.onDecision(decision);
        if (decision instanceof AdmissionDecision.Queued queued) {
            notifyExchanges(queued.displaced());
        }
        scheduleExpiry();
        scheduleSilenceCheck();
    }

    BodyMemory bodyMemory() {
        return bodyMemory;
    }

    ClientConnection callTarget(long maxIdleNanos, String requestId, CallListener listener) {
        return targetConnections.acquire(targetAddress, maxIdleNanos, requestId, listener);
    }

    void connectionBroke(RequestFingerprint request) {
        crashEvidence.connectionBroke(request, System.nanoTime());
    }

    void targetCrashed() {
        crashEvidence.targetCrashed(System.nanoTime()).forEach(onCrash);
    }

    /** Releases the slot of a finished exchange and admits a queued one. */
    void finished(HostExchange exchange, RunResult result, long runNanos) {
        OfferedRequest offered = exchange.offered();
        if (exchanges.remove(offered.id()) == null) {
            return;
        }
        gate.withdraw(offered);
        notifyExchanges(gate.release(offered, result, runNanos, System.nanoTime()));
        publish();
    }

    /**
     * Checks for a target that answers nothing. Skipped if the check itself comes late: after a
     * pause of this process answers may be waiting to be read.
     */
    private void checkSilence() {
        long now = System.nanoTime();
        boolean late = now - lastSilenceCheckNanos > 2 * SILENCE_CHECK_NANOS;
        silenceCheckScheduled = false;
        if (!late) {
            List<Long> starts = new ArrayList<>();
            for (HostExchange exchange : exchanges.values()) {
                if (exchange.awaitsAnswer()) {
                    starts.add(exchange.runStartNanos());
                }
            }
            notifyExchanges(gate.checkSilence(starts, now));
            publish();
        }
        scheduleSilenceCheck();
    }

    void scheduleSilenceCheck() {
        if (silenceCheckScheduled || exchanges.isEmpty()) {
            return;
        }
        silenceCheckScheduled = true;
        lastSilenceCheckNanos = System.nanoTime();
        loop.schedule(
                events.guarded("silence_check", this::checkSilence),
                SILENCE_CHECK_NANOS,
                TimeUnit.NANOSECONDS);
    }

    private void notifyExchanges(List<HostGate.QueueDecision> decisions) {
        for (HostGate.QueueDecision decision : decisions) {
            HostExchange exchange = exchanges.get(decision.offered().id());
            if (exchange != null) {
                exchange.onDecision(decision.decision());
            }
        }
    }

    private void scheduleExpiry() {
        if (expiryScheduled || gate.waitingCount() == 0) {
            return;
        }
        expiryScheduled = true;
        loop.schedule(
                events.guarded(
                        "queue_expiry",
                        () -> {
                            expiryScheduled = false;
                            notifyExchanges(gate.expire(System.nanoTime()));
                            scheduleExpiry();
                        }),
                EXPIRY_MILLIS,
                TimeUnit.MILLISECONDS);
    }
}
