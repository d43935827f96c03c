package org.azureshed.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.azureshed.bench.GossipSimulation;
import org.azureshed.bench.SyntheticNodes;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs many reducers in virtual time and without the platform, as during its outage. */
class GossipFleetTest {
    private static final long DRAIN_LIMIT_MILLIS = 3_000;
    private static final long CHANGE_LIMIT_MILLIS = 15_000;
    private static final long BYTES_PER_SECOND = 4_096;

    /** Guards against drains that reach some node late, on a good network and on a lossy one. */
    @ParameterizedTest
    @CsvSource({"5, 0, 1", "50, 0, 2", "300, 0, 3", "5, 10, 4", "50, 10, 5", "300, 10, 6"})
    void drainIsKnownEverywhereWithin3Seconds(int nodes, int lossPercent, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        GossipSimulation simulation = fleet(nodes, lossy(random, lossPercent), random);
        simulation.runUntil(5_000);
        for (int drain = 0; drain < 5; drain++) {
            NodeInfo changed = drain(simulation, drain);
            long millis = spreadMillis(simulation, changed, node -> true);
            assertTrue(millis <= DRAIN_LIMIT_MILLIS, "drain " + drain + " took " + millis);
        }
    }

    /** Guards against drains that do not spread across a one-way network partition. */
    @ParameterizedTest
    @CsvSource({"50, 7", "300, 8"})
    void drainPassesOneWayCut(int nodes, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        // The zone of node 0 sends nothing to half of the other zones.
        GossipSimulation simulation =
                fleet(
                        nodes,
                        (from, to) ->
                                from % 10 == 0 && to % 10 >= 5
                                        ? new long[0]
                                        : new long[] {1 + random.nextInt(3)},
                        random);
        simulation.runUntil(10_000);
        for (int drain = 0; drain < 3; drain++) {
            long millis = spreadMillis(simulation, drain(simulation, drain * 10), node -> true);
            assertTrue(millis <= DRAIN_LIMIT_MILLIS, "drain " + drain + " took " + millis);
        }
    }

    /** Guards against a drain that is delayed by an ordinary change shortly before it. */
    @ParameterizedTest
    @CsvSource({"50, 1, 20", "300, 1, 21", "300, 5, 22", "300, 12, 23"})
    void drainAfterOrdinaryChangesIsKnownWithin3Seconds(int nodes, int changes, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        GossipSimulation simulation = fleet(nodes, lossy(random, 0), random);
        simulation.runUntil(5_000);
        for (int change = 0; change < changes; change++) {
            NodeInfo self = simulation.state(3).self();
            TargetInfo extra = self.targets().get(1).withState(TargetState.STARTING);
            List<TargetInfo> targets = new java.util.ArrayList<>(self.targets());
            targets.add(
                    new TargetInfo(
                            new TargetId("extra-" + change),
                            extra.service(),
                            extra.address(),
                            1,
                            TargetState.STARTING));
            simulation.submit(3, new MembershipEvent.SelfChanged(self.withTargets(targets)));
        }
        simulation.runUntil(simulation.nowMillis() + 500);
        long millis = spreadMillis(simulation, drain(simulation, 3), node -> true);
        assertTrue(millis <= DRAIN_LIMIT_MILLIS, millis + " ms");
    }

    /** Guards against control traffic above the budget, both when idle and with many changes. */
    @ParameterizedTest
    @CsvSource({"50, 0, 9", "300, 0, 10", "300, 2, 11"})
    void staysWithinByteBudget(int nodes, int changesPerSecond, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        GossipSimulation simulation = fleet(nodes, lossy(random, 0), random);
        simulation.runUntil(3_000);
        simulation.takeBytes();
        for (int second = 0; second < 20; second++) {
            for (int change = 0; change < changesPerSecond; change++) {
                drain(simulation, random.nextInt(nodes));
            }
            simulation.runUntil(simulation.nowMillis() + 1_000);
        }
        long most = Arrays.stream(simulation.takeBytes()).max().orElseThrow() / 20;
        assertTrue(most <= BYTES_PER_SECOND, most + " bytes/s");
    }

    /** Guards against an older version that returns with a late, repeated or reordered message. */
    @ParameterizedTest
    @ValueSource(longs = {12, 13, 14})
    void neverReturnsToOlderVersion(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        GossipSimulation simulation = fleet(30, lateAndRepeated(random), random);
        Map<String, MemberRecord> newest = new HashMap<>();
        for (int step = 0; step < 400; step++) {
            if (step % 10 == 0 && step < 200) {
                drain(simulation, random.nextInt(30));
            }
            simulation.runUntil(simulation.nowMillis() + 100);
            for (int node = 0; node < simulation.size(); node++) {
                for (MemberRecord record : simulation.state(node).table().all()) {
                    MemberRecord before = newest.put(node + "/" + record.id(), record);
                    assertFalse(before != null && before.supersedes(record), () -> "" + record);
                }
            }
        }
        for (int node = 0; node < simulation.size(); node++) {
            NodeInfo self = simulation.state(node).self();
            assertEquals(0, spreadMillis(simulation, self, other -> true));
        }
    }

    /** Guards against a node that cannot discover the fleet without the platform. */
    @ParameterizedTest
    @CsvSource({"5, 15", "300, 16"})
    void startsFromSeedAlone(int nodes, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        GossipSimulation simulation = fleet(nodes, lossy(random, 0), random);
        NodeInfo joining = SyntheticNodes.node(nodes);
        int node = simulation.add(MembershipState.initial(joining, random.nextLong()));
        simulation.runUntil(3_000);
        assertEquals(nodes + 1, simulation.state(node).table().size());
        long millis = spreadMillis(simulation, joining, other -> true);
        assertTrue(millis <= CHANGE_LIMIT_MILLIS, millis + " ms");
    }

    /** Guards against a peer that all nodes avoid because a single node cannot reach it. */
    @ParameterizedTest
    @CsvSource({"20, 17", "40, 18"})
    void unreachableInOwnViewOnly(int nodes, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        NodeId dead = SyntheticNodes.node(7).id();
        NodeId unreachableFromNode1 = SyntheticNodes.node(11).id();
        GossipSimulation simulation =
                fleet(
                        nodes,
                        (from, to) -> from == 1 && to == 11 ? new long[0] : new long[] {1},
                        random);
        simulation.kill(7);
        simulation.runUntil(120_000);
        assertFalse(
                simulation.state(1).unreachable(unreachableFromNode1),
                "indirect pings reach the peer");
        assertFalse(simulation.state(2).unreachable(unreachableFromNode1));
        assertTrue(simulation.state(17).unreachable(dead));
        assertTrue(simulation.state(17).visible(dead).isPresent(), "too early to hide");
        simulation.runUntil(1_000_000);
        assertTrue(simulation.state(17).visible(dead).isEmpty());
        assertTrue(simulation.state(17).table().get(dead).isPresent(), "only the view changes");
        MembershipEffect delete =
                simulation.otherEffects().stream()
                        .filter(MembershipEffect.DeleteRecord.class::isInstance)
                        .findFirst()
                        .orElseThrow();
        assertEquals(dead, ((MembershipEffect.DeleteRecord) delete).id());
    }

    static GossipSimulation fleet(
            int nodes, GossipSimulation.Network network, SplittableRandom random) {
        RecordTable table = RecordTable.empty();
        for (int i = 0; i < nodes; i++) {
            table = table.put(MemberRecord.of(SyntheticNodes.node(i)));
        }
        MembershipReducer reducer =
                new MembershipReducer(List.of(SyntheticNodes.node(0).control()));
        GossipSimulation simulation = new GossipSimulation(reducer, network, random.nextLong());
        for (int i = 0; i < nodes; i++) {
            simulation.add(
                    MembershipState.initial(SyntheticNodes.node(i), table, random.nextLong()));
        }
        return simulation;
    }

    private static GossipSimulation.Network lossy(SplittableRandom random, int lossPercent) {
        return (from, to) ->
                random.nextInt(100) < lossPercent
                        ? new long[0]
                        : new long[] {1 + random.nextInt(3)};
    }

    private static GossipSimulation.Network lateAndRepeated(SplittableRandom random) {
        return (from, to) ->
                switch (random.nextInt(4)) {
                    case 0 -> new long[] {1, random.nextInt(5_000)};
                    case 1 -> new long[] {random.nextInt(5_000)};
                    default -> new long[] {1 + random.nextInt(3)};
                };
    }

    private static NodeInfo drain(GossipSimulation simulation, int node) {
        NodeInfo self = simulation.state(node).self();
        List<TargetInfo> targets = new java.util.ArrayList<>(self.targets());
        TargetInfo first = targets.remove(0);
        targets.add(first.withState(TargetState.DRAINING));
        NodeInfo changed = self.withTargets(targets);
        simulation.submit(node, new MembershipEvent.SelfChanged(changed));
        return changed;
    }

    /** Returns the time until all chosen nodes have this version; fails after a minute. */
    private static long spreadMillis(
            GossipSimulation simulation, NodeInfo changed, Predicate<Integer> chosen) {
        long start = simulation.nowMillis();
        for (int node = 0; node < simulation.size(); node++) {
            int checked = node;
            while (chosen.test(node) && !knows(simulation, checked, changed)) {
                assertTrue(
                        simulation.nowMillis() - start < 60_000,
                        "node " + node + " lacks the change");
                simulation.runUntil(simulation.nowMillis() + 10);
            }
        }
        return simulation.nowMillis() - start;
    }

    private static boolean knows(GossipSimulation simulation, int node, NodeInfo changed) {
        return simulation
                .state(node)
                .table()
                .get(changed.id())
                .filter(record -> record.sequence() >= changed.sequence())
                .isPresent();
    }
}
