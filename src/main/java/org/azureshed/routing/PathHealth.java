package org.azureshed.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.ToIntFunction;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/**
 * This entry node's own view of its paths to other nodes. Thread-safe.
 *
 * <p>A path turns bad after {@value #BAD_AFTER} consecutive connection failures, timeouts or
 * answers that took far longer than the host side itself needed. It is avoided for a backoff with
 * jitter that doubles with each failed probe; then one idempotent request at a time probes it. It
 * is good again after {@value #GOOD_AFTER} successful probes.
 */
public final class PathHealth {
    static final int BAD_AFTER = 3;
    static final int GOOD_AFTER = 2;

    private static final long BASE_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_DOUBLINGS = 5;

    /** A probe without result, for example of a caller that went away, frees its place. */
    private static final long PROBE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** The network time of a good path is a few milliseconds within a region. */
    private static final long SLOW_PATH_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final int SLOW_PATH_FACTOR = 3;

    /** A path that turns bad again within this time continues with its last backoff. */
    private static final long FLAPPING_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final int PERCENT = 100;
    private static final int JITTER_BITS = 53;

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<NodeId, Path> paths = new HashMap<>();
    private volatile Set<NodeId> badPaths = Set.of();

    /**
     * Which nodes to avoid for one request. If avoiding all bad paths would leave less than the
     * floor of the service's announced slots, the paths that end their backoff first are used.
     *
     * @param candidates all targets of the service
     * @param weightPercent weight of a target; with weight 0 it is ejected and does not serve
     * @param floorPercent the service's floor
     * @param idempotent whether the request may probe a path
     * @param nowNanos current time
     * @return nodes to avoid; empty in the common case of no bad path
     */
    public Set<NodeId> avoided(
            List<Candidate> candidates,
            ToIntFunction<TargetId> weightPercent,
            int floorPercent,
            boolean idempotent,
            long nowNanos) {
        Set<NodeId> bad = badPaths;
        if (bad.isEmpty()) {
            return Set.of();
        }
        lock.lock();
        try {
            return avoidedLocked(candidates, weightPercent, floorPercent, idempotent, nowNanos);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Tells that a request is about to use a path, so that a probe takes the place of the probe.
     *
     * @param node the node at its end
     * @param nowNanos current time
     */
    public void started(NodeId node, long nowNanos) {
        if (!badPaths.contains(node)) {
            return;
        }
        lock.lock();
        try {
            Path path = paths.get(node);
            if (path != null && path.bad && path.mayProbe(nowNanos)) {
                path.probeUntilNanos = nowNanos + PROBE_TIMEOUT_NANOS;
                path.probing = true;
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records an answer, whatever its status.
     *
     * @param node the node at the path's end
     * @param pathNanos time from sending the request to the start of the answer
     * @param hostNanos the part of it that the host side spent itself, waiting and running
     * @param randomBits random number for the jitter
     * @param nowNanos current time
     */
    public void answered(
            NodeId node, long pathNanos, long hostNanos, long randomBits, long nowNanos) {
        long limit = Math.max(SLOW_PATH_NANOS, hostNanos * SLOW_PATH_FACTOR);
        if (pathNanos - hostNanos > limit) {
            failed(node, randomBits, nowNanos);
            return;
        }
        lock.lock();
        try {
            Path path = paths.get(node);
            if (path != null && path.succeeded(nowNanos)) {
                publish();
            }
            if (path != null && path.forgettable(nowNanos)) {
                paths.remove(node);
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records a connection failure or timeout on the path. A refusal or error status that the host
     * side sent is an answer.
     *
     * @param node the node at the path's end
     * @param randomBits random number for the jitter
     * @param nowNanos current time
     */
    public void failed(NodeId node, long randomBits, long nowNanos) {
        lock.lock();
        try {
            double jitter = (randomBits >>> (Long.SIZE - JITTER_BITS)) * 0x1.0p-53;
            if (paths.computeIfAbsent(node, key -> new Path()).failed(jitter, nowNanos)) {
                publish();
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Forgets nodes that left the fleet.
     *
     * @param present all nodes of the fleet
     */
    public void retain(Set<NodeId> present) {
        lock.lock();
        try {
            if (paths.keySet().retainAll(present)) {
                publish();
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * The paths that are bad at the moment, for status and metrics.
     *
     * @return nodes at their ends
     */
    public Set<NodeId> badPaths() {
        return badPaths;
    }

    private Set<NodeId> avoidedLocked(
            List<Candidate> candidates,
            ToIntFunction<TargetId> weightPercent,
            int floorPercent,
            boolean idempotent,
            long nowNanos) {
        long announced = 0;
        long serving = 0;
        Map<NodeId, Integer> avoidable = new HashMap<>();
        for (Candidate candidate : candidates) {
            int slots = candidate.target().slots();
            announced += slots;
            if (!candidate.ready() || weightPercent.applyAsInt(candidate.target().id()) == 0) {
                continue;
            }
            Path path = paths.get(candidate.node().id());
            if (path == null || !path.bad || (idempotent && path.mayProbe(nowNanos))) {
                serving += slots;
            } else {
                avoidable.merge(candidate.node().id(), slots, Integer::sum);
            }
        }
        if (avoidable.isEmpty()) {
            return Set.of();
        }
        Set<NodeId> avoided = new HashSet<>(avoidable.keySet());
        List<NodeId> bestFirst =
                avoidable.keySet().stream()
                        .sorted(
                                Comparator.<NodeId>comparingLong(
                                                id -> paths.get(id).backoffUntilNanos - nowNanos)
                                        .thenComparing(Comparator.naturalOrder()))
                        .toList();
        for (NodeId id : bestFirst) {
            if (serving * PERCENT >= announced * floorPercent && serving > 0) {
                break;
            }
            avoided.remove(id);
            serving += avoidable.get(id);
        }
        return avoided;
    }

    private void publish() {
        Set<NodeId> bad = new HashSet<>();
        paths.forEach(
                (id, path) -> {
                    if (path.bad) {
                        bad.add(id);
                    }
                });
        badPaths = Set.copyOf(bad);
    }

    /** State of one path; only paths with recent failures have one. */
    private static final class Path {
        private int failures;
        private int successes;
        private int backoffs;
        private boolean bad;
        private boolean probing;
        private long backoffUntilNanos;
        private long probeUntilNanos;

        boolean mayProbe(long nowNanos) {
            return nowNanos - backoffUntilNanos >= 0
                    && (!probing || nowNanos - probeUntilNanos >= 0);
        }

        /** Returns true if the path turned bad. */
        boolean failed(double jitter, long nowNanos) {
            successes = 0;
            failures++;
            boolean inBackoff = bad && nowNanos - backoffUntilNanos < 0;
            if (failures < BAD_AFTER && !bad || inBackoff) {
                return false;
            }
            boolean turned = !bad;
            bad = true;
            probing = false;
            long backoff = BASE_BACKOFF_NANOS << Math.min(backoffs, MAX_DOUBLINGS);
            backoffs++;
            backoffUntilNanos = nowNanos + (long) (backoff * (1 + jitter) / 2);
            return turned;
        }

        /** Returns true if the path turned good. */
        boolean succeeded(long nowNanos) {
            failures = 0;
            probing = false;
            if (!bad || nowNanos - backoffUntilNanos < 0) {
                // An answer to a request sent before the path turned bad proves nothing.
                return false;
            }
            successes++;
            bad = successes < GOOD_AFTER;
            return !bad;
        }

        /** A flapping path keeps its backoff; one that stayed good needs no state. */
        boolean forgettable(long nowNanos) {
            return !bad
                    && failures == 0
                    && (backoffs == 0 || nowNanos - backoffUntilNanos > FLAPPING_NANOS);
        }
    }
}
