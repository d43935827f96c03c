package org.azureshed.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import org.azureshed.directory.Condition;
import org.azureshed.directory.NodeEntry;
import org.azureshed.directory.TargetEntry;

/**
 * Orders the targets of a service for one request: reachable before unreachable, then healthy
 * before slow or failing, then this node's availability zone before others. Among equals, a small
 * part that stays the same from request to request comes first, in random order, so that a node of
 * a large fleet keeps connections to that part only; the others follow in random order.
 *
 * <p>The part is a section of the ring of equals, which is the same for all nodes. Nodes begin
 * their sections at places that divide the ring evenly, so all targets are in about as many
 * sections. Sections chosen independently of each other would load the targets less evenly.
 *
 * <p>For a small share of the repeatable requests, targets that fail many requests come first, so
 * that their recovery is detected. The host side admits only as many of these as it needs.
 */
public final class TargetOrder {
    /** Share of the repeatable requests that are offered to failing targets first. */
    private static final double TRIAL_SHARE = 0.15;

    /** Size of the preferred part; the square root of the number of equals if that is more. */
    private static final int MIN_PREFERRED = 6;

    /** Odd factor near 2^32 divided by the golden ratio, for multiplicative hashing. */
    private static final int SCATTERING_FACTOR = 0x9E3779B9;

    private final String availabilityZone;
    private final PathBackoff paths;
    private final TargetHints hints;
    private final SplittableRandom random;
    private final DoubleSupplier place;

    /**
     * Creates an order.
     *
     * @param availabilityZone availability zone of this node
     * @param paths backoff of the paths to other nodes
     * @param hints recently observed conditions of targets
     * @param random breaks ties among equal targets
     * @param place place of this node among the nodes that share the targets, from 0 to less than
     *     1; evenly distributed over these nodes
     */
    public TargetOrder(
            String availabilityZone,
            PathBackoff paths,
            TargetHints hints,
            SplittableRandom random,
            DoubleSupplier place) {
        this.availabilityZone = availabilityZone;
        this.paths = paths;
        this.hints = hints;
        this.random = random;
        this.place = place;
    }

    private record Ranked(NodeEntry node, int rank, int ringKey) {}

    /**
     * Orders the targets.
     *
     * @param nodes nodes with a usable target
     * @param repeatable whether the request may run more than once
     * @param nowNanos current time
     * @return the same nodes, best first
     */
    public List<NodeEntry> order(List<NodeEntry> nodes, boolean repeatable, long nowNanos) {
        boolean trial = repeatable && random.nextDouble() < TRIAL_SHARE;
        List<Ranked> ranked = new ArrayList<>(nodes.size());
        for (NodeEntry node : nodes) {
            int ringKey = node.name().hashCode() * SCATTERING_FACTOR;
            ranked.add(new Ranked(node, rank(node, trial, nowNanos), ringKey));
        }
        ranked.sort(Comparator.comparingInt(Ranked::rank).thenComparingInt(Ranked::ringKey));
        List<NodeEntry> ordered = new ArrayList<>(nodes.size());
        double ownPlace = place.getAsDouble();
        int from = 0;
        for (int i = 1; i <= ranked.size(); i++) {
            if (i == ranked.size() || ranked.get(i).rank() != ranked.get(from).rank()) {
                addEquals(ranked.subList(from, i), ownPlace, ordered);
                from = i;
            }
        }
        return ordered;
    }

    private void addEquals(List<Ranked> ring, double ownPlace, List<NodeEntry> ordered) {
        int size = ring.size();
        int begin = (int) (ownPlace * size);
        List<NodeEntry> all = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            all.add(ring.get((begin + i) % size).node());
        }
        int preferred = Math.min(size, Math.max(MIN_PREFERRED, (int) Math.sqrt(size)));
        shuffle(all.subList(0, preferred));
        shuffle(all.subList(preferred, size));
        ordered.addAll(all);
    }

    private void shuffle(List<NodeEntry> nodes) {
        for (int i = nodes.size() - 1; i > 0; i--) {
            Collections.swap(nodes, i, random.nextInt(i + 1));
        }
    }

    private int rank(NodeEntry node, boolean trial, long nowNanos) {
        Condition announced = node.target().map(TargetEntry::condition).orElse(Condition.GONE);
        Condition observed = hints.condition(node.name(), nowNanos);
        Condition condition = announced.compareTo(observed) < 0 ? observed : announced;
        int conditionRank = trial && condition == Condition.SUSPECT ? -1 : condition.ordinal();
        int pathRank = paths.inBackoff(node.name(), nowNanos) ? Condition.values().length : 0;
        int zoneRank = node.availabilityZone().equals(availabilityZone) ? 0 : 1;
        return 2 * (pathRank + conditionRank) + zoneRank;
    }
}
