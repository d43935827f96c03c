package org.azureshed.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;

/**
 * Chooses targets of one service for one entry node. Thread-safe.
 *
 * <p>Uses the power of two choices: draws two targets of the subset at random by weight and takes
 * the one with the shorter expected response time. That time is computed from the target's reported
 * load, the requests sent to it since the report, its service time and the network time to its
 * zone.
 *
 * <pre>{@code
 * Pick pick = picker.pick(request, random.nextLong(), System.nanoTime()).orElseThrow();
 * try {
 *     pick.report(send(pick.candidate()), System.nanoTime());
 * } finally {
 *     pick.finish();
 * }
 * }</pre>
 */
public final class TargetPicker {
    /** Additional round-trip time to a target in another availability zone of the region. */
    private static final double CROSS_ZONE_NANOS = TimeUnit.MILLISECONDS.toNanos(3);

    /** With fewer ready targets in this node's region, all regions are used from the start. */
    private static final int MIN_TARGETS_IN_REGION = 2;

    /**
     * Relative random noise on the expected time of the second target. Without it the target with
     * the longest time of several nearly equal ones is never chosen, and its load report never
     * updated.
     */
    private static final double NOISE = 0.1;

    /** Assumed service time before the first load report. */
    private static final double INITIAL_SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Weight of a new load report in the moving averages over all targets. */
    private static final double AVERAGE_WEIGHT = 1.0 / 32;

    private static final double PERCENT = 100;

    private final NodeId self;
    private final String region;
    private final String zone;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<TargetId, TargetLoad> loads = new HashMap<>();
    private List<Candidate> lastCandidates;
    private int lastEntryNodes;
    private List<Candidate> readyInAllRegions = List.of();
    private List<Candidate> readyNearby = List.of();
    private List<Candidate> subset = List.of();
    private double averageLoad;
    private double averageServiceNanos = INITIAL_SERVICE_NANOS;

    /**
     * Creates a picker without load data.
     *
     * @param self this entry node
     */
    public TargetPicker(NodeInfo self) {
        this.self = self.id();
        region = self.region();
        zone = self.availabilityZone();
    }

    /**
     * Chooses a target. If no target of the subset can be used, all ready targets of the region are
     * considered, then those of all regions.
     *
     * @param request input of the choice
     * @param random seed for the random choice
     * @param nowNanos current time
     * @return the choice, which the caller finishes when the request has ended; empty if no target
     *     can be used
     */
    public Optional<Pick> pick(PickRequest request, long random, long nowNanos) {
        lock.lock();
        try {
            refresh(request, nowNanos);
            SplittableRandom generator = new SplittableRandom(random);
            return choose(subset, request, generator, nowNanos)
                    .or(() -> choose(readyNearby, request, generator, nowNanos))
                    .or(() -> choose(readyInAllRegions, request, generator, nowNanos))
                    .map(
                            candidate -> {
                                TargetLoad load = loads.get(candidate.target().id());
                                load.requestSent();
                                return new Pick(this, candidate, load);
                            });
        } finally {
            lock.unlock();
        }
    }

    void report(TargetLoad load, LoadReport report, long nowNanos) {
        lock.lock();
        try {
            load.reportReceived(report, nowNanos);
            averageLoad += (load.reportedLoad() - averageLoad) * AVERAGE_WEIGHT;
            if (load.hasServiceTime()) {
                averageServiceNanos += (load.medianNanos() - averageServiceNanos) * AVERAGE_WEIGHT;
            }
        } finally {
            lock.unlock();
        }
    }

    void finish(Pick pick) {
        lock.lock();
        try {
            if (pick.markFinished()) {
                pick.load().requestFinished();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Recomputes the subset if the candidates or the number of entry nodes changed. */
    private void refresh(PickRequest request, long nowNanos) {
        if (request.candidates() == lastCandidates && request.entryNodes() == lastEntryNodes) {
            return;
        }
        boolean initial = lastCandidates == null;
        lastCandidates = request.candidates();
        lastEntryNodes = request.entryNodes();
        readyInAllRegions = lastCandidates.stream().filter(Candidate::ready).toList();
        List<Candidate> inRegion =
                readyInAllRegions.stream().filter(c -> c.node().region().equals(region)).toList();
        readyNearby = inRegion.size() >= MIN_TARGETS_IN_REGION ? inRegion : readyInAllRegions;
        subset = Subset.of(self, readyNearby, lastEntryNodes);
        Set<TargetId> present = new HashSet<>();
        for (Candidate candidate : readyInAllRegions) {
            present.add(candidate.target().id());
            loads.computeIfAbsent(
                    candidate.target().id(), id -> new TargetLoad(!initial, nowNanos));
        }
        loads.keySet().retainAll(present);
    }

    private Optional<Candidate> choose(
            List<Candidate> candidates,
            PickRequest request,
            SplittableRandom random,
            long nowNanos) {
        double[] weights = new double[candidates.size()];
        for (int i = 0; i < weights.length; i++) {
            weights[i] = weight(candidates.get(i), request, nowNanos);
        }
        int first = draw(weights, random);
        if (first < 0) {
            return Optional.empty();
        }
        weights[first] = 0;
        int second = draw(weights, random);
        if (second < 0) {
            return Optional.of(candidates.get(first));
        }
        double firstNanos = expectedNanos(candidates.get(first), request, nowNanos);
        double secondNanos = expectedNanos(candidates.get(second), request, nowNanos);
        secondNanos *= 1 + NOISE * (2 * random.nextDouble() - 1);
        return Optional.of(candidates.get(firstNanos <= secondNanos ? first : second));
    }

    private double weight(Candidate candidate, PickRequest request, long nowNanos) {
        TargetId id = candidate.target().id();
        if (request.tried().contains(id) || request.avoided().contains(candidate.node().id())) {
            return 0;
        }
        double percent = request.weightPercent().applyAsInt(id);
        return percent / PERCENT * loads.get(id).slowStartWeight(nowNanos);
    }

    /** Draws an index with a probability proportional to its weight; -1 if all weights are 0. */
    private static int draw(double[] weights, SplittableRandom random) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        if (sum <= 0) {
            return -1;
        }
        double remaining = random.nextDouble() * sum;
        int last = -1;
        for (int i = 0; i < weights.length; i++) {
            if (weights[i] > 0) {
                last = i;
                remaining -= weights[i];
                if (remaining < 0) {
                    return i;
                }
            }
        }
        return last;
    }

    private double expectedNanos(Candidate candidate, PickRequest request, long nowNanos) {
        TargetLoad load = loads.get(candidate.target().id());
        double perSlot =
                load.loadPerSlot(
                        candidate.target().slots(), averageLoad, request.longRunning(), nowNanos);
        double networkNanos =
                candidate.node().availabilityZone().equals(zone) ? 0 : CROSS_ZONE_NANOS;
        double service = load.serviceNanos(averageServiceNanos, nowNanos);
        return service * (1 + perSlot) + networkNanos;
    }
}
