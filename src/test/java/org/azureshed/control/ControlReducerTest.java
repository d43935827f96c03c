package org.azureshed.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.azureshed.bench.SyntheticNodes;
import org.azureshed.distribution.DistributionEffect;
import org.azureshed.idempotency.KeyRange;
import org.azureshed.idempotency.OwnerEffect;
import org.azureshed.idempotency.OwnerEvent;
import org.azureshed.membership.MembershipEvent;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;
import org.azureshed.routing.Candidate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a snapshot whose targets by service differ from the node records. */
class ControlReducerTest {
    private static final int NODES = 40;
    private static final int EVENTS = 400;

    private final ControlReducer reducer = new ControlReducer();
    private final Map<NodeId, NodeInfo> others = new HashMap<>();
    private ControlState state = ControlState.initial(SyntheticNodes.node(0));
    private int version;
    private Snapshot snapshot = state.snapshot();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void targetsOfServicesFollowEveryEvent(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < EVENTS; i++) {
            Snapshot before = snapshot;
            Set<String> changedServices = new HashSet<>();
            submit(event(random, changedServices));
            assertEquals(expected(), actual());
            assertEquals(others.size() + 1, snapshot.nodeCount());
            for (String service : snapshot.candidates().keySet()) {
                if (!changedServices.contains(service)) {
                    // A picker recomputes its subset for each new list object.
                    assertSame(before.candidatesOf(service), snapshot.candidatesOf(service));
                }
            }
        }
    }

    /** Without the wait, all nodes of a restarting fleet read the whole preset. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aNodeWatchesTheIndexOnlyAfterTheListingOrAWait(boolean platformReplies) {
        for (int second = 0; second < 15; second++) {
            assertEquals(0, watches(second), "watch after " + second + " s");
        }
        if (platformReplies) {
            state = ControlState.initial(SyntheticNodes.node(0));
            assertEquals(0, watches(1));
            submit(new ControlEvent.NodesListed(List.of(SyntheticNodes.node(0))));
        }
        assertEquals(1, watches(16));
    }

    /** Without the wait, each node of a restarting fleet reads all 128 key ranges. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aNodeReadsKeyRangesOnlyAfterTheListingOrAWait(boolean platformReplies) {
        assertEquals(0, leaseReads(0));
        if (platformReplies) {
            List<NodeInfo> listed = new ArrayList<>();
            for (int i = 0; i < NODES; i++) {
                listed.add(SyntheticNodes.node(i));
            }
            submit(new ControlEvent.NodesListed(listed));
            long reads = leaseReads(1);
            assertTrue(reads < 16, "one of 40 nodes reads " + reads + " of 128 ranges");
        } else {
            for (int second = 0; second < 15; second++) {
                assertEquals(0, leaseReads(second), "read after " + second + " s");
                watches(second);
            }
            assertEquals(KeyRange.COUNT, leaseReads(16));
        }
    }

    private long leaseReads(int second) {
        Step<ControlState, Effect> step =
                reducer.reduce(state, new ControlEvent.Keys(new OwnerEvent.Tick(1_000L * second)));
        state = step.state();
        return step.effects().stream()
                .filter(e -> e instanceof Effect.Keys(OwnerEffect.ReadLease read))
                .count();
    }

    private long watches(int second) {
        ControlEvent round =
                new ControlEvent.Membership(new MembershipEvent.GossipDue(1_000L * second, 7));
        Step<ControlState, Effect> step = reducer.reduce(state, round);
        state = step.state();
        return step.effects().stream()
                .filter(new Effect.Distribution(new DistributionEffect.WatchIndex(true))::equals)
                .count();
    }

    private ControlEvent event(SplittableRandom random, Set<String> changedServices) {
        NodeInfo known = state.self();
        TargetInfo own = known.targets().get(random.nextInt(known.targets().size()));
        NodeId id = new NodeId("node-" + (1 + random.nextInt(NODES)));
        switch (random.nextInt(4)) {
            case 0 -> {
                addServices(known, changedServices);
                return new ControlEvent.TargetAnnounced(toggled(own));
            }
            case 1 -> {
                NodeInfo removed = others.remove(id);
                if (removed != null) {
                    addServices(removed, changedServices);
                }
                return new ControlEvent.NodeDeleted(id);
            }
            case 2 -> {
                return new ControlEvent.NodeSeen(changed(id, random, changedServices));
            }
            default -> {
                List<NodeInfo> listed = new ArrayList<>();
                NodeId second = new NodeId("node-" + (1 + NODES + random.nextInt(NODES)));
                listed.add(changed(id, random, changedServices));
                listed.add(changed(second, random, changedServices));
                return new ControlEvent.NodesListed(listed);
            }
        }
    }

    /** Returns a newer record in which a target is dropped, or one is toggled and moved last. */
    private NodeInfo changed(NodeId id, SplittableRandom random, Set<String> changedServices) {
        int index = Integer.parseInt(id.value().substring("node-".length()));
        NodeInfo before = others.getOrDefault(id, SyntheticNodes.node(index));
        List<TargetInfo> targets = new ArrayList<>(before.targets());
        if (targets.size() > 1 && random.nextBoolean()) {
            targets.removeFirst();
        } else {
            targets = new ArrayList<>(SyntheticNodes.node(index).targets());
            targets.add(toggled(targets.removeFirst()));
        }
        // Deletions leave tombstones, which only a later incarnation replaces.
        NodeInfo after =
                new NodeInfo(
                        id,
                        before.region(),
                        before.availabilityZone(),
                        before.entry(),
                        before.host(),
                        before.control(),
                        SyntheticNodes.node(index).incarnation() + 1 + ++version,
                        1,
                        false,
                        targets);
        addServices(before, changedServices);
        addServices(after, changedServices);
        others.put(id, after);
        return after;
    }

    private void submit(ControlEvent event) {
        Step<ControlState, Effect> step = reducer.reduce(state, event);
        state = step.state();
        for (Effect effect : step.effects()) {
            if (effect instanceof Effect.PublishSnapshot(Snapshot published)) {
                snapshot = published;
            }
        }
    }

    private Map<String, Set<Candidate>> expected() {
        Map<String, Set<Candidate>> expected = new HashMap<>();
        List<NodeInfo> all = new ArrayList<>(others.values());
        all.add(state.self());
        for (NodeInfo node : all) {
            for (TargetInfo target : node.targets()) {
                expected.computeIfAbsent(target.service(), name -> new HashSet<>())
                        .add(new Candidate(node, target));
            }
        }
        return expected;
    }

    private Map<String, Set<Candidate>> actual() {
        Map<String, Set<Candidate>> actual = new HashMap<>();
        snapshot.candidates()
                .forEach(
                        (service, list) -> {
                            actual.put(service, new HashSet<>(list));
                            assertEquals(list.size(), actual.get(service).size(), service);
                        });
        return actual;
    }

    private static void addServices(NodeInfo node, Set<String> changedServices) {
        node.targets().forEach(target -> changedServices.add(target.service()));
    }

    private static TargetInfo toggled(TargetInfo target) {
        boolean ready = target.state() == TargetState.READY;
        return target.withState(ready ? TargetState.DRAINING : TargetState.READY);
    }
}
