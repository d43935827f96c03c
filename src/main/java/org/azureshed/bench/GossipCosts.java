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

/** Runs the membership reducers of a whole fleet and measures bytes and processor time. */
final class GossipCosts {
    private static final int SECONDS = 60;
    private static final long SETTLE_MILLIS = 3_000;

    /** 77 failures and 2,600 restarts a day of 2,400 nodes, with 20 changes of a record each. */
    private static final double CHANGES_PER_NODE_SECOND = 2_677.0 / 2_400 / 86_400 * 20;

    private final ScalePoint point;
    private final ScaleFigures figures;
    private final SplittableRandom random = new SplittableRandom(42);

    GossipCosts(ScalePoint point, ScaleFigures figures) {
        this.point = point;
        this.figures = figures;
    }

    void measure() {
        RecordTable table = RecordTable.empty();
        for (int i = 0; i < point.nodes(); i++) {
            table = table.put(MemberRecord.of(point.node(i)));
        }
        GossipLoop loop =
                new GossipLoop(
                        new MembershipReducer(List.of()),
                        (from, to) -> new long[] {1 + random.nextInt(3)},
                        random.nextLong());
        for (int i = 0; i < point.nodes(); i++) {
            loop.add(MembershipState.initial(point.node(i), table, random.nextLong()));
        }
        loop.run(SETTLE_MILLIS);
        run(loop, "idle", 0);
        run(loop, "churn", CHANGES_PER_NODE_SECOND * point.nodes());
    }

    private void run(GossipLoop loop, String phase, double changesPerSecond) {
        loop.takeBytes();
        long start = CostMeter.cpuNanos();
        double due = 0;
        for (int second = 0; second < SECONDS; second++) {
            for (due += changesPerSecond; due >= 1; due--) {
                change(loop, random.nextInt(point.nodes()));
            }
            loop.run(loop.nowMillis() + 1_000);
        }
        double micros = (CostMeter.cpuNanos() - start) / 1e3;
        long[] bytes = loop.takeBytes();
        Arrays.sort(bytes);
        double mean = Arrays.stream(bytes).average().orElse(0) / SECONDS;
        figures.add(point, "gossip_" + phase + "_bytes_per_s", mean);
        figures.add(
                point,
                "gossip_" + phase + "_max_bytes_per_s",
                (double) bytes[bytes.length - 1] / SECONDS);
        figures.add(point, "gossip_" + phase + "_us_per_s", micros / point.nodes() / SECONDS);
    }

    private static void change(GossipLoop loop, int node) {
        NodeInfo self = loop.state(node).self();
        List<TargetInfo> targets = new ArrayList<>(self.targets());
        TargetInfo target = targets.removeFirst();
        boolean ready = target.state() == TargetState.READY;
        targets.add(target.withState(ready ? TargetState.DRAINING : TargetState.READY));
        loop.submit(node, new MembershipEvent.SelfChanged(self.withTargets(targets)));
    }
}
