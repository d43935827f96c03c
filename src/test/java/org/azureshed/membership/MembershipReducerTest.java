package org.azureshed.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.azureshed.bench.SyntheticNodes;
import org.azureshed.control.Step;
import org.azureshed.generated.ControlMessage;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.generated.GossipPush;
import org.azureshed.generated.PoisonSuspect;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Single steps of the reducer. */
class MembershipReducerTest {
    private static final NodeInfo SELF = SyntheticNodes.node(1);
    private static final NodeInfo PEER = SyntheticNodes.node(2);

    private final MembershipReducer reducer = new MembershipReducer(List.of());

    /**
     * Guards against a node's own record that is superseded by a peer's version of it, and against
     * reusing the version of an earlier run unchanged.
     */
    @ParameterizedTest
    @CsvSource({
        "older sequence,        0, -1,  0, 5",
        "same version,          0,  0,  0, 5",
        "larger sequence,       0, 10,  0, 16",
        "older incarnation,    -9, 90,  0, 5",
        "larger incarnation,   99,  3,  100, 1"
    })
    void repairsOwnRecord(
            String name,
            long incarnation,
            long sequence,
            long expectedIncarnation,
            long expectedSequence) {
        NodeInfo own = version(SELF, SELF.incarnation(), 5);
        NodeInfo other = version(SELF, SELF.incarnation() + incarnation, 5 + sequence);
        MembershipState state = receive(MembershipState.initial(own, 1), other).state();
        assertEquals(SELF.incarnation() + expectedIncarnation, state.self().incarnation(), name);
        assertEquals(expectedSequence, state.self().sequence(), name);
        assertFalse(
                MemberRecord.of(other).supersedes(state.table().get(SELF.id()).orElseThrow()),
                name);
    }

    /** Guards against two processes with the same id that raise their versions for ever. */
    @Test
    void stopsRepairAgainstAnotherProcess() {
        MembershipState state = MembershipState.initial(SELF, 1);
        for (int i = 0; i < 10; i++) {
            NodeInfo foreign =
                    new NodeInfo(
                            SELF.id(),
                            SELF.region(),
                            SELF.availabilityZone(),
                            SELF.entry(),
                            SELF.host(),
                            new Endpoint("10.9.9.9", 8_003),
                            state.self().incarnation() + 1,
                            1,
                            false,
                            List.of());
            Step<MembershipState, MembershipEffect> step = receive(state, foreign);
            assertTrue(step.effects().contains(new MembershipEffect.DuplicateNodeId(foreign)));
            state = step.state();
        }
        assertEquals(SELF.incarnation() + 6, state.self().incarnation());
    }

    /** Guards against a removed record that reappears from an old copy. */
    @ParameterizedTest
    @CsvSource({"0, 0, false", "0, -1, false", "-1, 9, false", "0, 1, true", "1, -1, true"})
    void tombstoneKeepsOldCopiesOut(long incarnation, long sequence, boolean returns) {
        NodeInfo removed = version(PEER, PEER.incarnation(), 5);
        MembershipState state =
                reducer.reduce(
                                MembershipState.initial(SELF, 1),
                                new MembershipEvent.RecordsRead(List.of(removed)))
                        .state();
        state =
                reducer.reduce(
                                state,
                                new MembershipEvent.RecordDeleted(
                                        PEER.id(), removed.incarnation(), removed.sequence()))
                        .state();
        assertTrue(state.visible(PEER.id()).isEmpty());
        NodeInfo copy = version(PEER, PEER.incarnation() + incarnation, 5 + sequence);
        assertEquals(returns, receive(state, copy).state().visible(PEER.id()).isPresent());
    }

    /** Guards against a platform that keeps an older copy of the own record. */
    @Test
    void publishesAgainWhenPlatformIsOlder() {
        NodeInfo own = version(SELF, SELF.incarnation(), 5);
        var step =
                reducer.reduce(
                        MembershipState.initial(own, 1),
                        new MembershipEvent.RecordsRead(List.of(SELF)));
        assertTrue(step.effects().contains(new MembershipEffect.SelfRepaired(own)));
    }

    /**
     * Guards against a suspect that circulates for ever, or that is forwarded with no hops left.
     */
    @Test
    void passesSuspectOnOnce() {
        MembershipState state =
                reducer.reduce(
                                MembershipState.initial(SELF, 1),
                                new MembershipEvent.RecordsRead(List.of(PEER)))
                        .state();
        GossipDeltas suspect =
                GossipDeltas.newBuilder()
                        .addSuspects(PoisonSuspect.newBuilder().setFingerprint(7).setReporter("n"))
                        .build();
        var first = reducer.reduce(state, push(suspect, 3));
        assertEquals(1, sends(first));
        assertTrue(first.effects().contains(new MembershipEffect.GossipEntriesReceived(suspect)));
        assertEquals(0, reducer.reduce(first.state(), push(suspect, 3)).effects().size());
        assertEquals(0, sends(reducer.reduce(state, push(suspect, 0))));
    }

    /** Guards against a reducer that fails on malformed records of another software version. */
    @Test
    void ignoresMalformedRecords() {
        GossipDeltas.Builder deltas = GossipDeltas.newBuilder();
        deltas.addNodesBuilder();
        deltas.addNodesBuilder().setId("x").addTargetsBuilder().setStatusValue(99);
        deltas.addPatchesBuilder();
        var step = reducer.reduce(MembershipState.initial(SELF, 1), push(deltas.build(), 1));
        assertEquals(1, step.state().table().size());
    }

    private Step<MembershipState, MembershipEffect> receive(MembershipState state, NodeInfo info) {
        GossipDeltas deltas =
                GossipDeltas.newBuilder()
                        .addNodes(RecordCodec.encode(MemberRecord.of(info), 0))
                        .build();
        return reducer.reduce(state, push(deltas, 0));
    }

    private static MembershipEvent push(GossipDeltas deltas, int hops) {
        GossipPush push = GossipPush.newBuilder().setDeltas(deltas).setHops(hops).build();
        return new MembershipEvent.MessageReceived(
                ControlMessage.newBuilder().setGossipPush(push).build(), 0);
    }

    private static long sends(Step<MembershipState, MembershipEffect> step) {
        return step.effects().stream().filter(MembershipEffect.Send.class::isInstance).count();
    }

    private static NodeInfo version(NodeInfo info, long incarnation, long sequence) {
        return new NodeInfo(
                new NodeId(info.id().value()),
                info.region(),
                info.availabilityZone(),
                info.entry(),
                info.host(),
                info.control(),
                incarnation,
                sequence,
                info.draining(),
                info.targets());
    }
}
