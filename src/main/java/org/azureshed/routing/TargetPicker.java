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
 * <p>Draws two targets of the subset by weight and takes the one with the shorter expected time,
 * from its reported load, the own requests sent since, its service time and the way to its zone.
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
    /** Round trip between zones of a region that a target of the own zone saves. */
    private static final double OTHER_ZONE_NANOS = TimeUnit.MILLISECONDS.toNanos(3);

    /** Other regions are used only if the own one has fewer ready targets. */
    private static final int MIN_IN_REGION = 2;

    /**
     * Relative difference that is decided by chance. Without it the last of several nearly equal
     * targets is never chosen, and its report never renewed.
     */
    private static final double NOISE = 0.1;

    private static final double INITIAL_SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final double AVERAGE_WEIGHT = 1.0 / 32;
    private static final double PERCENT = 100;

    private final NodeId self;
    private final String region;
    private final String zone;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<TargetId, TargetLoad> loads = new HashMap<>();
    private List<Candidate> known;
    private int knownEntryNodes;
    private List<Candidate> ready = List.of();
    private List<Candidate> subset = List.of();
    private double averageLoad;
    private double averageServiceNanos = INITIAL_SERVICE_NANOS;

    /**
     * Creates a picker that knows no load.
     *
     * @param self the entry node
     */
    public TargetPicker(NodeInfo self) {
        this.self = self.id();
        region = self.region();
        zone = self.availabilityZone();
    }

    /**
     * Chooses a target. If no target of the subset can be used, all ready targets are considered.
     *
     * @param request what the choice depends on
     * @param random random number
     * @param nowNanos current time
     * @return the choice, to be finished exactly once; empty if no target can be used
     */
    public Optional<Pick> pick(PickRequest request, long random, long nowNanos) {
        lock.lock();
        try {
            refresh(request, nowNanos);
            SplittableRandom generator = new SplittableRandom(random);
            return choose(subset, request, generator, nowNanos)
                    .or(() -> choose(ready, request, generator, nowNanos))
                    .map(
                            candidate -> {
                                TargetLoad load = loads.get(candidate.target().id());
                                load.sent();
                                return new Pick(this, candidate, load);
                            });
        } finally {
            lock.unlock();
        }
    }

    void report(TargetLoad load, LoadReport report, long nowNanos) {
        lock.lock();
        try {
            load.reported(report, nowNanos);
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
                pick.load().finished();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Computes the subset again when the candidates have changed. */
    private void refresh(PickRequest request, long nowNanos) {
        if (request.candidates() == known && request.entryNodes() == knownEntryNodes) {
            return;
        }
        boolean first = known == null;
        known = request.candidates();
        knownEntryNodes = request.entryNodes();
        List<Candidate> anywhere = known.stream().filter(Candidate::ready).toList();
        List<Candidate> near =
                anywhere.stream().filter(c -> c.node().region().equals(region)).toList();
        ready = near.size() >= MIN_IN_REGION ? near : anywhere;
        subset = Subset.of(self, ready, knownEntryNodes);
        Set<TargetId> present = new HashSet<>();
        for (Candidate candidate : anywhere) {
            present.add(candidate.target().id());
            loads.computeIfAbsent(candidate.target().id(), id -> new TargetLoad(!first, nowNanos));
        }
        loads.keySet().retainAll(present);
    }

    private Optional<Candidate> choose(
            List<Candidate> from, PickRequest request, SplittableRandom random, long nowNanos) {
        double[] weights = new double[from.size()];
        for (int i = 0; i < weights.length; i++) {
            weights[i] = weight(from.get(i), request, nowNanos);
        }
        int first = draw(weights, random);
        if (first < 0) {
            return Optional.empty();
        }
        double firstWeight = weights[first];
        weights[first] = 0;
        int second = draw(weights, random);
        if (second < 0) {
            return Optional.of(from.get(first));
        }
        double one = expectedNanos(from.get(first), firstWeight, nowNanos);
        double other = expectedNanos(from.get(second), weights[second], nowNanos);
        other *= 1 + NOISE * (2 * random.nextDouble() - 1);
        return Optional.of(from.get(one <= other ? first : second));
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
        double left = random.nextDouble() * sum;
        int last = -1;
        for (int i = 0; i < weights.length; i++) {
            if (weights[i] > 0) {
                last = i;
                left -= weights[i];
                if (left < 0) {
                    return i;
                }
            }
        }
        return last;
    }

    private double expectedNanos(Candidate candidate, double weight, long nowNanos) {
        TargetLoad load = loads.get(candidate.target().id());
        double perSlot = load.loadPerSlot(candidate.target().slots(), averageLoad, nowNanos);
        double way = candidate.node().availabilityZone().equals(zone) ? 0 : OTHER_ZONE_NANOS;
        double service = load.serviceNanos(averageServiceNanos, nowNanos);
        return service * (1 + perSlot / weight) + way;
    }
}
