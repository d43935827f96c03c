package org.azureshed.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.azureshed.membership.MemberRecord;
import org.azureshed.membership.MembershipEvent;
import org.azureshed.membership.MembershipReducer;
import org.azureshed.membership.MembershipState;
import org.azureshed.membership.RecordTable;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;

/**
 * Measures the gossip traffic and the processor time of a node by running the membership reducers
 * of all nodes of a fleet in virtual time.
 */
final class GossipCosts {
    private static final int MEASURED_SECONDS = 60;
    private static final long SETTLE_MILLIS = 3_000;

    /**
     * Changes of node records: 2,400 nodes have 77 failures and 2,600 planned restarts a day, each
     * of them with 20 changes of a record.
     */
    private static final double CHANGES_PER_NODE_AND_SECOND = 2_677.0 / 2_400 / 86_400 * 20;

    private final SyntheticFleet fleet;
    private final ScaleMetrics metrics;
    private final SplittableRandom random = new SplittableRandom(42);

    GossipCosts(SyntheticFleet fleet, ScaleMetrics metrics) {
        this.fleet = fleet;
        this.metrics = metrics;
    }

    void measure() {
        RecordTable table = RecordTable.empty();
        for (int i = 0; i < fleet.nodes(); i++) {
            table = table.put(MemberRecord.of(fleet.node(i)));
        }
        GossipSimulation simulation =
                new GossipSimulation(
                        new MembershipReducer(List.of()),
                        (from, to) -> new long[] {1 + random.nextInt(3)},
                        random.nextLong());
        for (int i = 0; i < fleet.nodes(); i++) {
            simulation.add(MembershipState.initial(fleet.node(i), table, random.nextLong()));
        }
        simulation.runUntil(SETTLE_MILLIS);
        measurePhase(simulation, "idle", 0);
        measurePhase(simulation, "churn", CHANGES_PER_NODE_AND_SECOND * fleet.nodes());
    }

    /** Measures one phase and adds the mean and the largest traffic of a node to the metrics. */
    private void measurePhase(GossipSimulation simulation, String phase, double changesPerSecond) {
        simulation.takeBytes();
        long startNanos = CostMeter.threadCpuNanos();
        double dueChanges = 0;
        for (int second = 0; second < MEASURED_SECONDS; second++) {
            for (dueChanges += changesPerSecond; dueChanges >= 1; dueChanges--) {
                toggleFirstTarget(simulation, random.nextInt(fleet.nodes()));
            }
            simulation.runUntil(simulation.nowMillis() + 1_000);
        }
        double micros = (CostMeter.threadCpuNanos() - startNanos) / 1e3;
        long[] bytesByNode = simulation.takeBytes();
        Arrays.sort(bytesByNode);
        double meanBytesPerSecond =
                Arrays.stream(bytesByNode).average().orElse(0) / MEASURED_SECONDS;
        metrics.add(fleet, "gossip_" + phase + "_bytes_per_s", meanBytesPerSecond);
        metrics.add(
                fleet,
                "gossip_" + phase + "_max_bytes_per_s",
                (double) bytesByNode[bytesByNode.length - 1] / MEASURED_SECONDS);
        metrics.add(
                fleet, "gossip_" + phase + "_us_per_s", micros / fleet.nodes() / MEASURED_SECONDS);
    }

    /** Alternates a target between draining and ready and moves it to the end of the list. */
    private static void toggleFirstTarget(GossipSimulation simulation, int node) {
        NodeInfo self = simulation.state(node).self();
        List<TargetInfo> targets = new ArrayList<>(self.targets());
        TargetInfo target = targets.removeFirst();
        boolean ready = target.state() == TargetState.READY;
        targets.add(target.withState(ready ? TargetState.DRAINING : TargetState.READY));
        simulation.submit(node, new MembershipEvent.SelfChanged(self.withTargets(targets)));
    }
}
