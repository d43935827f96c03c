package org.azureshed.bench;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import org.azureshed.control.ActivePreset;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlReducer;
import org.azureshed.control.ControlState;
import org.azureshed.control.Effect;
import org.azureshed.control.Snapshot;
import org.azureshed.control.Step;
import org.azureshed.generated.ControlMessage;
import org.azureshed.membership.MemberRecord;
import org.azureshed.membership.MembershipEffect;
import org.azureshed.membership.MembershipEvent;
import org.azureshed.membership.MembershipReducer;
import org.azureshed.membership.MembershipState;
import org.azureshed.membership.RecordTable;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.Preset;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;
import org.azureshed.routing.Candidate;
import org.azureshed.routing.PickRequest;
import org.azureshed.routing.TargetPicker;

/**
 * Measures the processor time and the heap that one node needs for its view of the fleet. The times
 * include encoding the messages that the node sends, and parsing those that it receives.
 */
final class ViewCosts {
    private static final int WARM_UP_ITERATIONS = 300;
    private static final int MEASURED_ITERATIONS = 300;
    private static final int LISTING_ITERATIONS = 5;
    private static final int PICK_ITERATIONS = 50_000;
    private static final int CANDIDATE_LISTS = 100;

    private final SyntheticFleet fleet;
    private final ScaleMetrics metrics;
    private final SplittableRandom random = new SplittableRandom(42);
    private final ControlReducer reducer = new ControlReducer();
    private ControlState state;
    private Snapshot snapshot;

    /** Total size of encoded messages; it only keeps the encoding from being optimised away. */
    private long encodedBytes;

    ViewCosts(SyntheticFleet fleet, ScaleMetrics metrics) {
        this.fleet = fleet;
        this.metrics = metrics;
    }

    void measure() {
        long heapBytesBefore = CostMeter.usedHeapBytes();
        state = ControlState.initial(fleet.node(0));
        reduce(new ControlEvent.NodesListed(fleet.otherNodes()));
        reduce(gossipDue(1));
        metrics.add(fleet, "view_heap_bytes", CostMeter.usedHeapBytes() - heapBytesBefore);
        measureListing();
        measureGossip();
        measureChanges();
        measureOwnChange();
        measureSnapshot();
        measurePicks();
    }

    private void measureListing() {
        List<NodeInfo> otherNodes = fleet.otherNodes();
        double micros =
                CostMeter.measureMicros(
                        LISTING_ITERATIONS,
                        LISTING_ITERATIONS,
                        i ->
                                reducer.reduce(
                                        ControlState.initial(fleet.node(0)),
                                        new ControlEvent.NodesListed(otherNodes)));
        metrics.add(fleet, "view_listing_us", micros);
    }

    private void measureGossip() {
        metrics.add(
                fleet,
                "view_round_us",
                CostMeter.measureMicros(
                        WARM_UP_ITERATIONS, MEASURED_ITERATIONS, i -> reduce(gossipDue(i))));
        MembershipReducer peerReducer = new MembershipReducer(List.of());
        MembershipState peer = MembershipState.initial(fleet.node(1), recordTable(), 7);
        byte[] request =
                firstMessage(peerReducer.reduce(peer, new MembershipEvent.GossipDue(1, 7)));
        metrics.add(
                fleet,
                "view_request_us",
                CostMeter.measureMicros(
                        WARM_UP_ITERATIONS,
                        MEASURED_ITERATIONS,
                        i -> reduce(messageReceived(request))));
    }

    /**
     * Measures the change of a target of another node between draining and ready, once received as
     * a gossip push and once as a record from the platform.
     */
    private void measureChanges() {
        MembershipReducer peerReducer = new MembershipReducer(List.of());
        RecordTable table = recordTable();
        int count = WARM_UP_ITERATIONS + MEASURED_ITERATIONS;
        MembershipState[] senders = new MembershipState[fleet.nodes()];
        List<byte[]> pushes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int node = 1 + i % (fleet.nodes() - 1);
            if (senders[node] == null) {
                senders[node] = MembershipState.initial(fleet.node(node), table, i);
            }
            NodeInfo changed = withToggledTarget(senders[node].self());
            var step = peerReducer.reduce(senders[node], new MembershipEvent.SelfChanged(changed));
            senders[node] = step.state();
            pushes.add(firstMessage(step));
        }
        metrics.add(
                fleet,
                "view_node_change_us",
                CostMeter.measureMicros(
                        WARM_UP_ITERATIONS,
                        MEASURED_ITERATIONS,
                        i -> reduce(messageReceived(pushes.get(i)))));
        // At least 10 changes, so that the sequence is above that of every push.
        List<ControlEvent> nodeSeenEvents = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            NodeInfo node = fleet.node(1 + i % (fleet.nodes() - 1));
            for (int change = 0; change < 10 + i / (fleet.nodes() - 1); change++) {
                node = withToggledTarget(node);
            }
            nodeSeenEvents.add(new ControlEvent.NodeSeen(node));
        }
        metrics.add(
                fleet,
                "view_node_seen_us",
                CostMeter.measureMicros(
                        WARM_UP_ITERATIONS,
                        MEASURED_ITERATIONS,
                        i -> reduce(nodeSeenEvents.get(i))));
    }

    private void measureOwnChange() {
        metrics.add(
                fleet,
                "view_own_change_us",
                CostMeter.measureMicros(
                        WARM_UP_ITERATIONS,
                        MEASURED_ITERATIONS,
                        i -> {
                            TargetInfo target = state.self().targets().getFirst();
                            reduce(new ControlEvent.TargetAnnounced(withToggledState(target)));
                        }));
    }

    /** Uses a preset with one route, so that nearly all of the time is that of the snapshot. */
    private void measureSnapshot() {
        Preset preset = new SyntheticFleet(1, 1, 1, 1).preset(0);
        metrics.add(
                fleet,
                "view_snapshot_us",
                CostMeter.measureMicros(
                        WARM_UP_ITERATIONS,
                        MEASURED_ITERATIONS,
                        i ->
                                reduce(
                                        new ControlEvent.PresetReceived(
                                                new ActivePreset(i + 1, preset)))));
    }

    private void measurePicks() {
        List<Candidate> candidates = snapshot.candidatesOf("service-7");
        TargetPicker picker = new TargetPicker(fleet.node(0));
        PickRequest request = request(candidates);
        metrics.add(
                fleet,
                "view_pick_us",
                CostMeter.measureMicros(
                        PICK_ITERATIONS,
                        PICK_ITERATIONS,
                        i -> picker.pick(request, random.nextLong(), i).orElseThrow().finish()));
        List<PickRequest> requests = new ArrayList<>();
        for (int i = 0; i < CANDIDATE_LISTS; i++) {
            requests.add(request(new ArrayList<>(candidates)));
        }
        // The picker recognises an unchanged list by identity. Consecutive picks use different
        // copies, so that each pick finds a changed list, as after a change of the service.
        metrics.add(
                fleet,
                "view_pick_after_change_us",
                CostMeter.measureMicros(
                        10 * CANDIDATE_LISTS,
                        10 * CANDIDATE_LISTS,
                        i ->
                                picker.pick(requests.get(i % CANDIDATE_LISTS), i, i)
                                        .orElseThrow()
                                        .finish()));
    }

    private PickRequest request(List<Candidate> candidates) {
        ToIntFunction<TargetId> weights = snapshot::weightPercent;
        return new PickRequest(
                candidates,
                snapshot.nodeCount(),
                java.util.Set.of(),
                java.util.Set.of(),
                false,
                weights);
    }

    private void reduce(ControlEvent event) {
        Step<ControlState, Effect> step = reducer.reduce(state, event);
        state = step.state();
        for (Effect effect : step.effects()) {
            if (effect instanceof Effect.PublishSnapshot(Snapshot published)) {
                snapshot = published;
            } else if (effect instanceof Effect.Membership(MembershipEffect membershipEffect)) {
                encodedBytes += encode(membershipEffect).length;
            }
        }
    }

    private ControlEvent gossipDue(int round) {
        return new ControlEvent.Membership(
                new MembershipEvent.GossipDue(1_000L * round, random.nextLong()));
    }

    private static ControlEvent messageReceived(byte[] bytes) {
        try {
            return new ControlEvent.Membership(
                    new MembershipEvent.MessageReceived(ControlMessage.parseFrom(bytes), 1));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(
                    "a message that this benchmark has encoded cannot be parsed", e);
        }
    }

    private RecordTable recordTable() {
        RecordTable table = RecordTable.empty();
        for (int i = 0; i < fleet.nodes(); i++) {
            table = table.put(MemberRecord.of(fleet.node(i)));
        }
        return table;
    }

    private static byte[] firstMessage(Step<MembershipState, MembershipEffect> step) {
        for (MembershipEffect effect : step.effects()) {
            byte[] bytes = encode(effect);
            if (bytes.length > 0) {
                return bytes;
            }
        }
        throw new IllegalStateException("the membership reducer sent no message");
    }

    private static byte[] encode(MembershipEffect effect) {
        return switch (effect) {
            case MembershipEffect.Request request -> request.message().toByteArray();
            case MembershipEffect.Send send -> send.message().toByteArray();
            case MembershipEffect.Reply reply -> reply.message().toByteArray();
            default -> new byte[0];
        };
    }

    private static NodeInfo withToggledTarget(NodeInfo node) {
        List<TargetInfo> targets = new ArrayList<>(node.targets());
        targets.add(withToggledState(targets.removeFirst()));
        return node.withTargets(targets);
    }

    private static TargetInfo withToggledState(TargetInfo target) {
        boolean ready = target.state() == TargetState.READY;
        return target.withState(ready ? TargetState.DRAINING : TargetState.READY);
    }
}
