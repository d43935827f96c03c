package org.azureshed.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.azureshed.directory.Condition;
import org.azureshed.directory.NodeEntry;
import org.azureshed.directory.TargetEntry;

/**
 * Orders the targets of a service for one request: reachable before unreachable, then healthy
 * before slow or failing, then this node's availability zone before others, and random among
 * equals.
 *
 * <p>For a small share of the repeatable requests, targets that fail many requests come first, so
 * that their recovery is detected. The host side admits only as many of these as it needs.
 */
public final class TargetOrder {
    /** Share of the repeatable requests that are offered to failing targets first. */
    private static final double TRIAL_SHARE = 0.15;

    private final String availabilityZone;
    private final PathBackoff paths;
    private final TargetHints hints;
    private final SplittableRandom random;

    /**
     * Creates an order.
     *
     * @param availabilityZone availability zone of this node
     * @param paths backoff of the paths to other nodes
     * @param hints recently observed conditions of targets
     * @param random breaks ties among equal targets
     */
    public TargetOrder(
            String availabilityZone,
            PathBackoff paths,
            TargetHints hints,
            SplittableRandom random) {
        this.availabilityZone = availabilityZone;
        this.paths = paths;
        this.hints = hints;
        this.random = random;
    }

    private record Ranked(NodeEntry node, int rank, long tieBreaker) {}

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
            ranked.add(new Ranked(node, rank(node, trial, nowNanos), random.nextLong()));
        }
        ranked.sort(Comparator.comparingInt(Ranked::rank).thenComparingLong(Ranked::tieBreaker));
        return ranked.stream().map(Ranked::node).toList();
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
