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
 * Probes the paths to host sides that keep a request waiting, and paths that are bad.
 *
 * <p>A host side answers a probe without its targets. So a path without answers is told from a slow
 * target after about two seconds instead of a request's whole deadline. Waiting requests that may
 * run again are then cancelled, so that another target gets them.
 */
@Singleton
final class PathProber {
    private static final long PERIOD_MILLIS = 250;

    /** Longer than most requests take, so that almost none is probed for. */
    private static final long WAITED_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** With one probe a second and path, long requests on good paths cost next to nothing. */
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Set<Waiting> waiting = ConcurrentHashMap.newKeySet();
    private final Map<NodeId, Long> lastProbes = new HashMap<>();
    private final Set<NodeId> underWay = ConcurrentHashMap.newKeySet();
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
                this::check, PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A request that waits for the head of its answer; closed when it has come. */
    final class Waiting implements AutoCloseable {
        private final NodeInfo node;
        private final InFlight inFlight;
        private final boolean runsAgain;
        private final long sinceNanos = System.nanoTime();

        private Waiting(NodeInfo node, InFlight inFlight, boolean runsAgain) {
            this.node = node;
            this.inFlight = inFlight;
            this.runsAgain = runsAgain;
        }

        @Override
        public void close() {
            waiting.remove(this);
        }
    }

    /**
     * Starts to watch a request until the head of its answer has come.
     *
     * @param node the node that it is sent to
     * @param inFlight its cancellation
     * @param runsAgain whether it may be cancelled and sent to another target
     * @return a handle to be closed when the head has come
     */
    Waiting waiting(NodeInfo node, InFlight inFlight, boolean runsAgain) {
        Waiting entry = new Waiting(node, inFlight, runsAgain);
        waiting.add(entry);
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
        for (Waiting entry : waiting) {
            // Also on a bad path in its backoff, which the floor of a service may force into use.
            boolean waited = now - entry.sinceNanos > WAITED_NANOS;
            if (waited && !lastProbes.containsKey(entry.node.id())) {
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
        if (underWay.add(node.id())) {
            Thread.ofVirtual().name("path-probe").start(() -> ask(node));
        }
    }

    private void ask(NodeInfo node) {
        long sent = System.nanoTime();
        boolean answered = false;
        try {
            answered = clocks.ask(node).isPresent();
        } finally {
            underWay.remove(node.id());
            long now = System.nanoTime();
            long random = ThreadLocalRandom.current().nextLong();
            metrics.pathProbed(answered);
            boolean turned = paths.probed(node.id(), answered, now - sent, random, now);
            if (!answered) {
                cancelWaiting(node.id(), sent);
            }
            if (turned) {
                boolean bad = paths.badPaths().contains(node.id());
                (bad ? EventLog.warning("path_bad") : EventLog.info("path_good"))
                        .with("node", node.id())
                        .with("probe_answered", answered)
                        .with("probe_ms", TimeUnit.NANOSECONDS.toMillis(now - sent))
                        .write();
            }
        }
    }

    /** Requests sent after the probe started may be on a path that has recovered. */
    private void cancelWaiting(NodeId node, long sentNanos) {
        for (Waiting entry : waiting) {
            if (entry.runsAgain
                    && entry.node.id().equals(node)
                    && entry.sinceNanos - sentNanos < 0) {
                entry.inFlight.cancel(UnknownCause.NODE_SILENT);
            }
        }
    }
}
