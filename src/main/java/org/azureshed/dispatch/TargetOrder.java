package org.azureshed.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.azureshed.directory.Condition;
import org.azureshed.directory.NodeEntry;
import org.azureshed.directory.TargetEntry;

/**
 * Orders the targets of a service for one request: reachable before unreachable, healthy before
 * slow or failing, the own availability zone before others, and random among equals.
 *
 * <p>Targets that fail many requests come first for a small part of the repeatable requests, so
 * that their recovery is noticed. The host side admits only as many of these as it needs.
 */
public final class TargetOrder {
    /** Part of the repeatable requests offered to a failing target first. */
    private static final double TRIAL_PART = 0.15;

    private final String availabilityZone;
    private final PathBackoff paths;
    private final TargetHints hints;
    private final SplittableRandom random;

    /**
     * Creates an order.
     *
     * @param availabilityZone the node's availability zone
     * @param paths paths that failed lately
     * @param hints what was learnt about targets lately
     * @param random source of the order among equals
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

    private record Ranked(NodeEntry node, int rank, long tie) {}

    /**
     * Orders the targets.
     *
     * @param nodes nodes with a usable target
     * @param repeatable whether the request may run more than once
     * @param nowNanos current time
     * @return the same nodes, best first
     */
    public List<NodeEntry> order(List<NodeEntry> nodes, boolean repeatable, long nowNanos) {
        boolean trial = repeatable && random.nextDouble() < TRIAL_PART;
        List<Ranked> ranked = new ArrayList<>(nodes.size());
        for (NodeEntry node : nodes) {
            ranked.add(new Ranked(node, rank(node, trial, nowNanos), random.nextLong()));
        }
        ranked.sort(Comparator.comparingInt(Ranked::rank).thenComparingLong(Ranked::tie));
        return ranked.stream().map(Ranked::node).toList();
    }

    private int rank(NodeEntry node, boolean trial, long nowNanos) {
        Condition announced = node.target().map(TargetEntry::condition).orElse(Condition.GONE);
        Condition learnt = hints.condition(node.name(), nowNanos);
        Condition condition = announced.compareTo(learnt) < 0 ? learnt : announced;
        int conditionRank = trial && condition == Condition.SUSPECT ? -1 : condition.ordinal();
        int pathRank = paths.avoided(node.name(), nowNanos) ? Condition.values().length : 0;
        int zoneRank = node.availabilityZone().equals(availabilityZone) ? 0 : 1;
        return 2 * (pathRank + conditionRank) + zoneRank;
    }
}
