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
 * This entry node's own view of its paths to other nodes. Thread-safe.
 *
 * <p>A path turns bad after {@value #BAD_AFTER} consecutive connection failures, timeouts or
 * answers that took far longer than the host side itself needed, and at once if the host side does
 * not answer a probe. It is avoided for a backoff with jitter that doubles with each failed probe;
 * then the caller probes it. It is good again after {@value #GOOD_AFTER} successful probes.
 *
 * <p>Requests are not used as probes: on a path without answers each would cost its caller the
 * whole deadline, and a service without idempotent routes could never probe.
 */
public final class PathHealth {
    static final int BAD_AFTER = 3;
    static final int GOOD_AFTER = 2;

    private static final long BASE_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_DOUBLINGS = 5;

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
     * Starts the probes that are due. Each started probe has to end with {@link #probed}.
     *
     * @param nowNanos current time
     * @return bad paths whose backoff has ended and that no probe is under way on
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
     * Records the end of a probe, also of one that was not started by {@link #startProbes}.
     *
     * @param node the node at the path's end
     * @param answered whether the host side answered in time
     * @param pathNanos time until the answer
     * @param randomBits random number for the jitter
     * @param nowNanos current time
     * @return true if the path turned bad or good by it
     */
    public boolean probed(
            NodeId node, boolean answered, long pathNanos, long randomBits, long nowNanos) {
        boolean slow = pathNanos > SLOW_PATH_NANOS;
        lock.lock();
        try {
            Path path = paths.computeIfAbsent(node, key -> new Path());
            path.probing = false;
            boolean turned;
            if (answered && !slow) {
                turned = path.probeSucceeded(nowNanos);
            } else if (answered && !path.bad) {
                // A single late answer may come from a short pause of either node.
                turned = path.failed(jitter(randomBits), nowNanos);
            } else {
                turned = path.turnBad(jitter(randomBits), nowNanos);
            }
            if (turned) {
                publish();
            }
            if (path.forgettable(nowNanos)) {
                paths.remove(node);
            }
            return turned;
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
     * @return true if the path turned bad by it
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
                if (path.forgettable(nowNanos)) {
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
     * side sent is an answer.
     *
     * @param node the node at the path's end
     * @param randomBits random number for the jitter
     * @param nowNanos current time
     * @return true if the path turned bad by it
     */
    public boolean failed(NodeId node, long randomBits, long nowNanos) {
        lock.lock();
        try {
            Path path = paths.computeIfAbsent(node, key -> new Path());
            boolean turned = path.failed(jitter(randomBits), nowNanos);
            if (turned) {
                publish();
            }
            return turned;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Forgets nodes that left the fleet.
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
            if (path == null || !path.bad) {
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

    /** State of one path; only paths with recent failures have one. */
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

        /** Returns true if the path turned bad. */
        boolean failed(double jitter, long nowNanos) {
            failures++;
            // The probes alone decide about a bad path, which is used only if the floor demands it.
            return !bad && failures >= BAD_AFTER && turnBad(jitter, nowNanos);
        }

        /** Starts a backoff. Returns true if the path was good. */
        boolean turnBad(double jitter, long nowNanos) {
            successes = 0;
            if (bad && nowNanos - backoffUntilNanos < 0) {
                return false;
            }
            boolean turned = !bad;
            bad = true;
            long backoff = BASE_BACKOFF_NANOS << Math.min(backoffs, MAX_DOUBLINGS);
            backoffs++;
            backoffUntilNanos = nowNanos + (long) (backoff * (1 + jitter) / 2);
            return turned;
        }

        /** Returns true if the path turned good. */
        boolean probeSucceeded(long nowNanos) {
            if (!bad || nowNanos - backoffUntilNanos < 0) {
                // A probe sent before the path turned bad proves nothing.
                return false;
            }
            successes++;
            bad = successes < GOOD_AFTER;
            if (!bad) {
                failures = 0;
            }
            return !bad;
        }

        /** A flapping path keeps its backoff; one that stayed good needs no state. */
        boolean forgettable(long nowNanos) {
            return !bad
                    && !probing
                    && failures == 0
                    && (backoffs == 0 || nowNanos - backoffUntilNanos > FLAPPING_NANOS);
        }
    }
}
