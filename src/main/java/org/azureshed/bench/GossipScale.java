package org.azureshed.bench;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;
import org.azureshed.membership.MemberRecord;
import org.azureshed.membership.MembershipEvent;
import org.azureshed.membership.MembershipReducer;
import org.azureshed.membership.MembershipState;
import org.azureshed.membership.RecordTable;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;

/**
 * Measures gossip traffic and propagation times at several fleet sizes in virtual time, and prints
 * key=value lines.
 *
 * <p>In the churn phase, node records change at the rate of an ordinary day at design scale, scaled
 * to the fleet size: 2,400 nodes have 2,677 restarts a day, 77 of them after failures, with {@value
 * #CHANGES_PER_RESTART} changes of a record each.
 */
public final class GossipScale {
    private static final int[] FLEET_SIZES = {300, 1_200, 2_400};
    private static final int CHANGES_PER_RESTART = 20;
    private static final double CHANGES_PER_NODE_AND_SECOND =
            2_677.0 / 2_400 / 86_400 * CHANGES_PER_RESTART;
    private static final int DRAINS = 10;
    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final long MAX_PROPAGATION_MILLIS = 30_000;
    private static final int MEASURED_SECONDS = 20;

    private GossipScale() {}

    /**
     * Runs all sizes.
     *
     * @param args none
     */
    public static void main(String[] args) {
        for (int size : FLEET_SIZES) {
            measure(size, 42);
        }
    }

    private static void measure(int size, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        GossipSimulation simulation = newSimulation(size, random);
        simulation.runUntil(3_000);
        simulation.takeBytes();
        long startNanos = System.nanoTime();
        simulation.runUntil(simulation.nowMillis() + MEASURED_SECONDS * 1_000);
        print(size, "idle", simulation.takeBytes(), startNanos);
        startNanos = System.nanoTime();
        churn(simulation, size, random);
        print(size, "churn", simulation.takeBytes(), startNanos);
        long[] drainMillis = new long[DRAINS];
        long[] readyMillis = new long[DRAINS];
        for (int i = 0; i < DRAINS; i++) {
            int node = random.nextInt(size);
            int readyIndex = firstReady(simulation, node);
            drainMillis[i] = propagationMillis(simulation, node, readyIndex, TargetState.DRAINING);
            // changeTarget has moved the drained target to the end: index 11 of 12 targets.
            readyMillis[i] = propagationMillis(simulation, node, 11, TargetState.READY);
        }
        Arrays.sort(drainMillis);
        Arrays.sort(readyMillis);
        System.out.printf(
                "bench=gossip_spread nodes=%d drains=%d drain_median_ms=%d drain_max_ms=%d"
                        + " ordinary_median_ms=%d ordinary_max_ms=%d%n",
                size,
                DRAINS,
                drainMillis[DRAINS / 2],
                drainMillis[DRAINS - 1],
                readyMillis[DRAINS / 2],
                readyMillis[DRAINS - 1]);
    }

    private static GossipSimulation newSimulation(int size, SplittableRandom random) {
        RecordTable table = RecordTable.empty();
        for (int i = 0; i < size; i++) {
            table = table.put(MemberRecord.of(SyntheticNodes.node(i)));
        }
        GossipSimulation simulation =
                new GossipSimulation(
                        new MembershipReducer(List.of()),
                        (from, to) -> new long[] {1 + random.nextInt(3)},
                        random.nextLong());
        for (int i = 0; i < size; i++) {
            simulation.add(
                    MembershipState.initial(SyntheticNodes.node(i), table, random.nextLong()));
        }
        return simulation;
    }

    private static void churn(GossipSimulation simulation, int size, SplittableRandom random) {
        double dueChanges = 0;
        for (int second = 0; second < MEASURED_SECONDS; second++) {
            dueChanges += CHANGES_PER_NODE_AND_SECOND * size;
            for (; dueChanges >= 1; dueChanges--) {
                changeTarget(simulation, random.nextInt(size), second % 12, null);
            }
            simulation.runUntil(simulation.nowMillis() + 1_000);
        }
    }

    /**
     * Sets the state of one target.
     *
     * @param index position of the target in the node's record
     * @param state the new state, or null to alternate between draining and ready
     * @return the changed record of the node
     */
    private static NodeInfo changeTarget(
            GossipSimulation simulation, int node, int index, TargetState state) {
        NodeInfo self = simulation.state(node).self();
        List<TargetInfo> targets = new java.util.ArrayList<>(self.targets());
        TargetState oldState = targets.get(index).state();
        TargetState toggledState =
                oldState == TargetState.READY ? TargetState.DRAINING : TargetState.READY;
        // ControlReducer also moves a changed target to the end of the list.
        TargetInfo changedTarget = targets.remove(index);
        targets.add(changedTarget.withState(state == null ? toggledState : state));
        NodeInfo changed = self.withTargets(targets);
        simulation.submit(node, new MembershipEvent.SelfChanged(changed));
        return changed;
    }

    private static int firstReady(GossipSimulation simulation, int node) {
        List<TargetInfo> targets = simulation.state(node).self().targets();
        for (int i = 0; i < targets.size(); i++) {
            if (targets.get(i).state() == TargetState.READY) {
                return i;
            }
        }
        throw new IllegalStateException("node " + node + " has no ready target");
    }

    /**
     * Changes a target and returns the virtual time until all nodes have the change, at most
     * {@value #MAX_PROPAGATION_MILLIS} ms.
     */
    private static long propagationMillis(
            GossipSimulation simulation, int node, int index, TargetState state) {
        NodeInfo changed = changeTarget(simulation, node, index, state);
        long start = simulation.nowMillis();
        LongPredicate hasChange =
                i ->
                        simulation.state((int) i).table().get(changed.id()).orElseThrow().sequence()
                                >= changed.sequence();
        int informedNodes = 0;
        while (informedNodes < simulation.size()
                && simulation.nowMillis() - start < MAX_PROPAGATION_MILLIS) {
            simulation.runUntil(simulation.nowMillis() + POLL_INTERVAL_MILLIS);
            while (informedNodes < simulation.size() && hasChange.test(informedNodes)) {
                informedNodes++;
            }
        }
        return simulation.nowMillis() - start;
    }

    private static void print(int size, String phase, long[] bytesByNode, long startNanos) {
        double millis = (System.nanoTime() - startNanos) / 1e6;
        long[] sortedBytes = bytesByNode.clone();
        Arrays.sort(sortedBytes);
        double meanBytesPerSecond =
                Arrays.stream(sortedBytes).average().orElse(0) / MEASURED_SECONDS;
        System.out.printf(
                "bench=gossip_bytes nodes=%d phase=%s seconds=%d mean_bytes_per_s=%.0f"
                        + " max_bytes_per_s=%d cpu_ms_per_node_s=%.3f%n",
                size,
                phase,
                MEASURED_SECONDS,
                meanBytesPerSecond,
                sortedBytes[sortedBytes.length - 1] / MEASURED_SECONDS,
                millis / size / MEASURED_SECONDS);
    }
}
