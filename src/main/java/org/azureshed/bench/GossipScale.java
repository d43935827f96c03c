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
 * Measures gossip at several sizes of the fleet with virtual time, and prints key=value lines.
 *
 * <p>Changes come at the rate of an ordinary day at design scale: 2,677 restarts of 2,400 nodes
 * with {@value #CHANGES_PER_RESTART} changes of a record each, in proportion to the size.
 */
public final class GossipScale {
    private static final int[] SIZES = {300, 1_200, 2_400};
    private static final int CHANGES_PER_RESTART = 20;
    private static final double CHANGES_PER_NODE_SECOND =
            2_677.0 / 2_400 / 86_400 * CHANGES_PER_RESTART;
    private static final int DRAINS = 10;
    private static final long STEP_MILLIS = 10;
    private static final long MAX_SPREAD_MILLIS = 30_000;
    private static final int SECONDS = 20;

    private GossipScale() {}

    /**
     * Runs all sizes.
     *
     * @param args none
     */
    public static void main(String[] args) {
        for (int size : SIZES) {
            measure(size, 42);
        }
    }

    private static void measure(int size, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        GossipLoop loop = fleet(size, random);
        loop.run(3_000);
        loop.takeBytes();
        long startNanos = System.nanoTime();
        loop.run(loop.nowMillis() + SECONDS * 1_000);
        print(size, "idle", loop.takeBytes(), startNanos);
        startNanos = System.nanoTime();
        churn(loop, size, random);
        print(size, "churn", loop.takeBytes(), startNanos);
        long[] urgent = new long[DRAINS];
        long[] ordinary = new long[DRAINS];
        for (int i = 0; i < DRAINS; i++) {
            int node = random.nextInt(size);
            int ready = firstReady(loop, node);
            urgent[i] = spread(loop, node, ready, TargetState.DRAINING);
            // The drained target is now the last one.
            ordinary[i] = spread(loop, node, 11, TargetState.READY);
        }
        Arrays.sort(urgent);
        Arrays.sort(ordinary);
        System.out.printf(
                "bench=gossip_spread nodes=%d drains=%d drain_median_ms=%d drain_max_ms=%d"
                        + " ordinary_median_ms=%d ordinary_max_ms=%d%n",
                size,
                DRAINS,
                urgent[DRAINS / 2],
                urgent[DRAINS - 1],
                ordinary[DRAINS / 2],
                ordinary[DRAINS - 1]);
    }

    private static GossipLoop fleet(int size, SplittableRandom random) {
        RecordTable table = RecordTable.empty();
        for (int i = 0; i < size; i++) {
            table = table.put(MemberRecord.of(GossipFleet.node(i)));
        }
        GossipLoop loop =
                new GossipLoop(
                        new MembershipReducer(List.of()),
                        (from, to) -> new long[] {1 + random.nextInt(3)},
                        random.nextLong());
        for (int i = 0; i < size; i++) {
            loop.add(MembershipState.initial(GossipFleet.node(i), table, random.nextLong()));
        }
        return loop;
    }

    private static void churn(GossipLoop loop, int size, SplittableRandom random) {
        double changes = 0;
        for (int second = 0; second < SECONDS; second++) {
            changes += CHANGES_PER_NODE_SECOND * size;
            for (; changes >= 1; changes--) {
                change(loop, random.nextInt(size), second % 12, null);
            }
            loop.run(loop.nowMillis() + 1_000);
        }
    }

    /** Sets the state of one target; without a state, alternates draining and ready. */
    private static NodeInfo change(GossipLoop loop, int node, int index, TargetState state) {
        NodeInfo self = loop.state(node).self();
        List<TargetInfo> targets = new java.util.ArrayList<>(self.targets());
        TargetState old = targets.get(index).state();
        TargetState other = old == TargetState.READY ? TargetState.DRAINING : TargetState.READY;
        // A changed target goes to the end, as ControlReducer does it.
        TargetInfo changedTarget = targets.remove(index);
        targets.add(changedTarget.withState(state == null ? other : state));
        NodeInfo changed = self.withTargets(targets);
        loop.submit(node, new MembershipEvent.SelfChanged(changed));
        return changed;
    }

    private static int firstReady(GossipLoop loop, int node) {
        List<TargetInfo> targets = loop.state(node).self().targets();
        for (int i = 0; i < targets.size(); i++) {
            if (targets.get(i).state() == TargetState.READY) {
                return i;
            }
        }
        throw new IllegalStateException("all targets of node " + node + " drain");
    }

    private static long spread(GossipLoop loop, int node, int index, TargetState state) {
        NodeInfo changed = change(loop, node, index, state);
        long start = loop.nowMillis();
        LongPredicate everywhere =
                i ->
                        loop.state((int) i).table().get(changed.id()).orElseThrow().sequence()
                                >= changed.sequence();
        int known = 0;
        while (known < loop.size() && loop.nowMillis() - start < MAX_SPREAD_MILLIS) {
            loop.run(loop.nowMillis() + STEP_MILLIS);
            while (known < loop.size() && everywhere.test(known)) {
                known++;
            }
        }
        return loop.nowMillis() - start;
    }

    private static void print(int size, String phase, long[] bytes, long startNanos) {
        double millis = (System.nanoTime() - startNanos) / 1e6;
        long[] sorted = bytes.clone();
        Arrays.sort(sorted);
        double mean = Arrays.stream(sorted).average().orElse(0) / SECONDS;
        System.out.printf(
                "bench=gossip_bytes nodes=%d phase=%s seconds=%d mean_bytes_per_s=%.0f"
                        + " max_bytes_per_s=%d cpu_ms_per_node_s=%.3f%n",
                size,
                phase,
                SECONDS,
                mean,
                sorted[sorted.length - 1] / SECONDS,
                millis / size / SECONDS);
    }
}
