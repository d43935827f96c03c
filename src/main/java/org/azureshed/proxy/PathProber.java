package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.azureshed.control.ControlLoop;
import org.azureshed.control.Snapshot;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.UnknownCause;
import org.azureshed.routing.PathHealth;
import org.azureshed.telemetry.EventLog;
import org.azureshed.telemetry.FleetMetrics;

/**
 * Probes the paths to host sides with an overdue answer, and bad paths.
 *
 * <p>A host side answers a probe without its targets, so a probe distinguishes a broken path from a
 * slow target. This takes about two seconds instead of a request's whole deadline. If a probe
 * fails, pending requests that are safe to retry are cancelled and retried on another target.
 */
@Singleton
final class PathProber {
    private static final long CHECK_PERIOD_MILLIS = 250;

    /** Wait for an answer that triggers a probe. Most requests are faster and trigger none. */
    private static final long PROBE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** At one probe per second and path, long requests on good paths cause negligible load. */
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Set<PendingRequest> pending = ConcurrentHashMap.newKeySet();
    private final Map<NodeId, Long> lastProbes = new HashMap<>();
    private final Set<NodeId> runningProbes = ConcurrentHashMap.newKeySet();
    private final ControlLoop control;
    private final PathHealth paths;
    private final ClockRequests clocks;
    private final FleetMetrics metrics;

    @Inject
    PathProber(ControlLoop control, PathHealth paths, ClockRequests clocks, FleetMetrics metrics) {
        this.metrics = metrics;
        this.control = control;
        this.paths = paths;
        this.clocks = clocks;
        ScheduledExecutorService timer =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().daemon().name("path-prober").factory());
        timer.scheduleWithFixedDelay(
                this::check, CHECK_PERIOD_MILLIS, CHECK_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A request that waits for the head of its answer; closed when the wait has ended. */
    final class PendingRequest implements AutoCloseable {
        private final NodeInfo node;
        private final InFlight inFlight;
        private final boolean safeToRetry;
        private final long sinceNanos = System.nanoTime();

        private PendingRequest(NodeInfo node, InFlight inFlight, boolean safeToRetry) {
            this.node = node;
            this.inFlight = inFlight;
            this.safeToRetry = safeToRetry;
        }

        @Override
        public void close() {
            pending.remove(this);
        }
    }

    /**
     * Starts to watch a request that waits for the head of its answer.
     *
     * @param node the node that the request is sent to
     * @param inFlight handle that cancels the request
     * @param safeToRetry whether the request may be cancelled and sent to another target
     * @return a handle that the caller must close when the head has arrived or the request failed
     */
    PendingRequest watch(NodeInfo node, InFlight inFlight, boolean safeToRetry) {
        PendingRequest entry = new PendingRequest(node, inFlight, safeToRetry);
        pending.add(entry);
        return entry;
    }

    private void check() {
        try {
            check(System.nanoTime());
        } catch (RuntimeException e) {
            EventLog.warning("path_check_failed").with("error", e).write();
        }
    }

    private void check(long now) {
        for (PendingRequest entry : pending) {
            // Also probes a bad path during its backoff: the floor of a service may force its use.
            boolean overdue = now - entry.sinceNanos > PROBE_AFTER_NANOS;
            if (overdue && !lastProbes.containsKey(entry.node.id())) {
                probe(entry.node, now);
            }
        }
        lastProbes.values().removeIf(at -> now - at > PROBE_INTERVAL_NANOS);
        Snapshot snapshot = control.snapshot();
        paths.retain(id -> snapshot.node(id).isPresent());
        paths.startProbes(now).forEach(id -> snapshot.node(id).ifPresent(n -> probe(n, now)));
    }

    private void probe(NodeInfo node, long now) {
        lastProbes.put(node.id(), now);
        if (runningProbes.add(node.id())) {
            Thread.ofVirtual().name("path-probe").start(() -> probeNow(node));
        }
    }

    private void probeNow(NodeInfo node) {
        long sent = System.nanoTime();
        boolean answered = false;
        try {
            answered = clocks.requestSample(node).isPresent();
        } finally {
            runningProbes.remove(node.id());
            long now = System.nanoTime();
            long random = ThreadLocalRandom.current().nextLong();
            metrics.pathProbed(answered);
            boolean stateChanged = paths.probed(node.id(), answered, now - sent, random, now);
            if (!answered) {
                cancelWaiting(node.id(), sent);
            }
            if (stateChanged) {
                boolean bad = paths.badPaths().contains(node.id());
                (bad ? EventLog.warning("path_bad") : EventLog.info("path_good"))
                        .with("node", node.id())
                        .with("probe_answered", answered)
                        .with("probe_ms", TimeUnit.NANOSECONDS.toMillis(now - sent))
                        .write();
            }
        }
    }

    /**
     * Cancels the pending requests that are safe to retry, except those sent after the probe
     * started: the path may have recovered since.
     */
    private void cancelWaiting(NodeId node, long sentNanos) {
        for (PendingRequest entry : pending) {
            if (entry.safeToRetry
                    && entry.node.id().equals(node)
                    && entry.sinceNanos - sentNanos < 0) {
                entry.inFlight.cancel(UnknownCause.NODE_SILENT);
            }
        }
    }
}
