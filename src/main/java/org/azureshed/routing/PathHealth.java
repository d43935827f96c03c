package org.azureshed.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/**
 * Detects bad network paths from this entry node to other nodes. Thread-safe.
 *
 * <p>A path becomes bad after {@value #BAD_AFTER} consecutive connection failures, timeouts or
 * answers that took far longer than the host side itself needed, and immediately if the host side
 * does not answer a probe. A bad path is avoided. It is probed after a backoff with jitter. A probe
 * that fails or is answered late starts the next backoff, which is twice as long up to a limit. The
 * path becomes good after {@value #GOOD_AFTER} consecutive successful probes. Probes that end
 * during a backoff do not change the state of a bad path.
 *
 * <p>Requests are not used as probes: on a dead path each would use up its caller's whole deadline,
 * and a service without idempotent routes could never probe.
 */
public final class PathHealth {
    static final int BAD_AFTER = 3;
    static final int GOOD_AFTER = 2;

    private static final long BASE_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_DOUBLINGS = 5;

    /** The network time of a good path is a few milliseconds within a region. */
    private static final long SLOW_PATH_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The network time of a request must also exceed this multiple of its time at the host. */
    private static final int SLOW_PATH_FACTOR = 3;

    /**
     * A path that becomes bad again within this time after its last backoff continues to double its
     * backoffs.
     */
    private static final long FLAPPING_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final int PERCENT = 100;
    private static final int JITTER_BITS = 53;

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<NodeId, Path> paths = new HashMap<>();
    private volatile Set<NodeId> badPaths = Set.of();

    /**
     * Returns the nodes to avoid for one request. If avoiding all bad paths would leave less than
     * the service's floor of announced slots, bad paths are used as well, those whose backoff ends
     * first.
     *
     * @param candidates all targets of the service
     * @param weightPercent weight of a target, 0 to 100; a target with weight 0 is ejected and does
     *     not count as serving
     * @param floorPercent percentage of the announced slots that must stay usable
     * @param nowNanos current time
     * @return nodes to avoid; empty in the common case of no bad path
     */
    public Set<NodeId> avoided(
            List<Candidate> candidates,
            ToIntFunction<TargetId> weightPercent,
            int floorPercent,
            long nowNanos) {
        if (badPaths.isEmpty()) {
            return Set.of();
        }
        lock.lock();
        try {
            return avoidedLocked(candidates, weightPercent, floorPercent, nowNanos);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Starts the probes that are due. The caller must report the result of each by {@link #probed}.
     *
     * @param nowNanos current time
     * @return nodes to probe: their paths are bad, the backoff has ended and no probe is in flight
     */
    public Set<NodeId> startProbes(long nowNanos) {
        if (badPaths.isEmpty()) {
            return Set.of();
        }
        lock.lock();
        try {
            Set<NodeId> due = new HashSet<>();
            paths.forEach(
                    (id, path) -> {
                        if (path.startProbe(nowNanos)) {
                            due.add(id);
                        }
                    });
            return due;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records the result of a probe, including one that was not started by {@link #startProbes}.
     *
     * @param node the node that was probed
     * @param answered whether the host side answered in time
     * @param pathNanos time from the probe to its answer
     * @param randomBits random number for the jitter
     * @param nowNanos current time
     * @return true if the path became bad or good
     */
    public boolean probed(
            NodeId node, boolean answered, long pathNanos, long randomBits, long nowNanos) {
        boolean slow = pathNanos > SLOW_PATH_NANOS;
        lock.lock();
        try {
            Path path = paths.computeIfAbsent(node, key -> new Path());
            path.probing = false;
            boolean stateChanged;
            if (answered && !slow) {
                stateChanged = path.probeSucceeded(nowNanos);
            } else if (answered && !path.bad) {
                // A single late answer may come from a short pause of either node.
                stateChanged = path.failed(jitter(randomBits), nowNanos);
            } else {
                stateChanged = path.markBad(jitter(randomBits), nowNanos);
            }
            if (stateChanged) {
                publish();
            }
            if (path.removable(nowNanos)) {
                paths.remove(node);
            }
            return stateChanged;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records an answer to a request, with any status.
     *
     * @param node the node that answered
     * @param pathNanos time from sending the request to the start of the answer
     * @param hostNanos the part of it that the request spent on the host side, queued or running
     * @param randomBits random number for the jitter
     * @param nowNanos current time
     * @return true if the path became bad
     */
    public boolean answered(
            NodeId node, long pathNanos, long hostNanos, long randomBits, long nowNanos) {
        long limit = Math.max(SLOW_PATH_NANOS, hostNanos * SLOW_PATH_FACTOR);
        if (pathNanos - hostNanos > limit) {
            return failed(node, randomBits, nowNanos);
        }
        lock.lock();
        try {
            Path path = paths.get(node);
            if (path != null) {
                path.failures = 0;
                if (path.removable(nowNanos)) {
                    paths.remove(node);
                }
            }
            return false;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records a connection failure or timeout on the path. A refusal or error status that the host
     * side sent is not a failure of the path but an answer.
     *
     * @param node the node that the request was sent to
     * @param randomBits random number for the jitter
     * @param nowNanos current time
     * @return true if the path became bad
     */
    public boolean failed(NodeId node, long randomBits, long nowNanos) {
        lock.lock();
        try {
            Path path = paths.computeIfAbsent(node, key -> new Path());
            boolean stateChanged = path.failed(jitter(randomBits), nowNanos);
            if (stateChanged) {
                publish();
            }
            return stateChanged;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Removes the state of nodes that left the fleet.
     *
     * @param present whether a node is in the fleet
     */
    public void retain(Predicate<NodeId> present) {
        lock.lock();
        try {
            if (paths.keySet().removeIf(present.negate())) {
                publish();
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * The paths that are bad now, for status and metrics.
     *
     * @return the nodes that they lead to
     */
    public Set<NodeId> badPaths() {
        return badPaths;
    }

    private Set<NodeId> avoidedLocked(
            List<Candidate> candidates,
            ToIntFunction<TargetId> weightPercent,
            int floorPercent,
            long nowNanos) {
        long announcedSlots = 0;
        long servingSlots = 0;
        Map<NodeId, Integer> badPathSlots = new HashMap<>();
        for (Candidate candidate : candidates) {
            int slots = candidate.target().slots();
            announcedSlots += slots;
            if (!candidate.ready() || weightPercent.applyAsInt(candidate.target().id()) == 0) {
                continue;
            }
            Path path = paths.get(candidate.node().id());
            if (path == null || !path.bad) {
                servingSlots += slots;
            } else {
                badPathSlots.merge(candidate.node().id(), slots, Integer::sum);
            }
        }
        if (badPathSlots.isEmpty()) {
            return Set.of();
        }
        Set<NodeId> avoided = new HashSet<>(badPathSlots.keySet());
        List<NodeId> soonestFirst =
                badPathSlots.keySet().stream()
                        .sorted(
                                Comparator.<NodeId>comparingLong(
                                                id -> paths.get(id).backoffUntilNanos - nowNanos)
                                        .thenComparing(Comparator.naturalOrder()))
                        .toList();
        for (NodeId id : soonestFirst) {
            if (servingSlots * PERCENT >= announcedSlots * floorPercent && servingSlots > 0) {
                break;
            }
            avoided.remove(id);
            servingSlots += badPathSlots.get(id);
        }
        return avoided;
    }

    private static double jitter(long randomBits) {
        return (randomBits >>> (Long.SIZE - JITTER_BITS)) * 0x1.0p-53;
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

    /** State of one path. Exists only for paths with recent failures or probes. */
    private static final class Path {
        private int failures;
        private int successes;
        private int backoffs;
        private boolean bad;
        private boolean probing;
        private long backoffUntilNanos;

        boolean startProbe(long nowNanos) {
            if (!bad || probing || nowNanos - backoffUntilNanos < 0) {
                return false;
            }
            probing = true;
            return true;
        }

        /** Counts a failure. Returns true if the path became bad. */
        boolean failed(double jitter, long nowNanos) {
            failures++;
            // Only probes change a bad path; requests use it only if the floor requires it.
            return !bad && failures >= BAD_AFTER && markBad(jitter, nowNanos);
        }

        /** Starts a backoff unless one is running. Returns true if the path was good. */
        boolean markBad(double jitter, long nowNanos) {
            successes = 0;
            if (bad && nowNanos - backoffUntilNanos < 0) {
                return false;
            }
            boolean stateChanged = !bad;
            bad = true;
            long backoff = BASE_BACKOFF_NANOS << Math.min(backoffs, MAX_DOUBLINGS);
            backoffs++;
            backoffUntilNanos = nowNanos + (long) (backoff * (1 + jitter) / 2);
            return stateChanged;
        }

        /** Counts a successful probe. Returns true if the path became good. */
        boolean probeSucceeded(long nowNanos) {
            if (!bad || nowNanos - backoffUntilNanos < 0) {
                // A waiting request can cause a probe of a good path, or of a bad one during its
                // backoff.
                return false;
            }
            successes++;
            bad = successes < GOOD_AFTER;
            if (!bad) {
                failures = 0;
            }
            return !bad;
        }

        /** A flapping path keeps its state, and so its backoff; one that stayed good needs none. */
        boolean removable(long nowNanos) {
            return !bad
                    && !probing
                    && failures == 0
                    && (backoffs == 0 || nowNanos - backoffUntilNanos > FLAPPING_NANOS);
        }
    }
}
