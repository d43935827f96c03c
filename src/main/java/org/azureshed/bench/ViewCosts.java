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

/** Measures what one node's view of a fleet costs, with the messages of its connections. */
final class ViewCosts {
    private static final int WARM = 300;
    private static final int MEASURED = 300;
    private static final int LISTINGS = 5;
    private static final int PICKS = 50_000;
    private static final int PICKERS = 100;

    private final ScalePoint point;
    private final ScaleFigures figures;
    private final SplittableRandom random = new SplittableRandom(42);
    private final ControlReducer reducer = new ControlReducer();
    private ControlState state;
    private Snapshot snapshot;
    private long encodedBytes;

    ViewCosts(ScalePoint point, ScaleFigures figures) {
        this.point = point;
        this.figures = figures;
    }

    void measure() {
        long before = CostMeter.heapBytes();
        state = ControlState.initial(point.node(0));
        reduce(new ControlEvent.NodesListed(point.others()));
        reduce(due(1));
        figures.add(point, "view_heap_bytes", CostMeter.heapBytes() - before);
        measureListing();
        measureGossip();
        measureChanges();
        measureOwnChange();
        measureSnapshot();
        measurePicks();
    }

    private void measureListing() {
        List<NodeInfo> others = point.others();
        double micros =
                CostMeter.micros(
                        LISTINGS,
                        LISTINGS,
                        i ->
                                reducer.reduce(
                                        ControlState.initial(point.node(0)),
                                        new ControlEvent.NodesListed(others)));
        figures.add(point, "view_listing_us", micros);
    }

    private void measureGossip() {
        figures.add(point, "view_round_us", CostMeter.micros(WARM, MEASURED, i -> reduce(due(i))));
        MembershipReducer peers = new MembershipReducer(List.of());
        MembershipState peer = MembershipState.initial(point.node(1), table(), 7);
        byte[] request = message(peers.reduce(peer, new MembershipEvent.GossipDue(1, 7)));
        figures.add(
                point,
                "view_request_us",
                CostMeter.micros(WARM, MEASURED, i -> reduce(received(request))));
    }

    /** A drained or returning target of another node, as its push and as a platform event. */
    private void measureChanges() {
        MembershipReducer peers = new MembershipReducer(List.of());
        RecordTable table = table();
        int count = WARM + MEASURED;
        MembershipState[] senders = new MembershipState[point.nodes()];
        List<byte[]> pushes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int node = 1 + i % (point.nodes() - 1);
            if (senders[node] == null) {
                senders[node] = MembershipState.initial(point.node(node), table, i);
            }
            NodeInfo changed = changed(senders[node].self());
            var step = peers.reduce(senders[node], new MembershipEvent.SelfChanged(changed));
            senders[node] = step.state();
            pushes.add(message(step));
        }
        figures.add(
                point,
                "view_node_change_us",
                CostMeter.micros(WARM, MEASURED, i -> reduce(received(pushes.get(i)))));
        // The sequence is above all that the pushes brought.
        List<ControlEvent> seen = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            NodeInfo node = point.node(1 + i % (point.nodes() - 1));
            for (int change = 0; change < 10 + i / (point.nodes() - 1); change++) {
                node = changed(node);
            }
            seen.add(new ControlEvent.NodeSeen(node));
        }
        figures.add(
                point,
                "view_node_seen_us",
                CostMeter.micros(WARM, MEASURED, i -> reduce(seen.get(i))));
    }

    private void measureOwnChange() {
        figures.add(
                point,
                "view_own_change_us",
                CostMeter.micros(
                        WARM,
                        MEASURED,
                        i -> {
                            TargetInfo target = state.self().targets().getFirst();
                            reduce(new ControlEvent.TargetAnnounced(toggled(target)));
                        }));
    }

    /** A preset with one route leaves little beside the snapshot itself. */
    private void measureSnapshot() {
        Preset preset = new ScalePoint(1, 1, 1, 1).preset(0);
        figures.add(
                point,
                "view_snapshot_us",
                CostMeter.micros(
                        WARM,
                        MEASURED,
                        i ->
                                reduce(
                                        new ControlEvent.PresetReceived(
                                                new ActivePreset(i + 1, preset)))));
    }

    private void measurePicks() {
        List<Candidate> candidates = snapshot.candidatesOf("service-7");
        TargetPicker picker = new TargetPicker(point.node(0));
        PickRequest request = request(candidates);
        figures.add(
                point,
                "view_pick_us",
                CostMeter.micros(
                        PICKS,
                        PICKS,
                        i -> picker.pick(request, random.nextLong(), i).orElseThrow().finish()));
        List<PickRequest> copies = new ArrayList<>();
        for (int i = 0; i < PICKERS; i++) {
            copies.add(request(new ArrayList<>(candidates)));
        }
        // Each copy is a list that the picker has not seen, as after a change of the service.
        figures.add(
                point,
                "view_pick_after_change_us",
                CostMeter.micros(
                        10 * PICKERS,
                        10 * PICKERS,
                        i -> picker.pick(copies.get(i % PICKERS), i, i).orElseThrow().finish()));
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
            } else if (effect instanceof Effect.Membership(MembershipEffect inner)) {
                encodedBytes += encode(inner).length;
            }
        }
    }

    private ControlEvent due(int round) {
        return new ControlEvent.Membership(
                new MembershipEvent.GossipDue(1_000L * round, random.nextLong()));
    }

    private static ControlEvent received(byte[] bytes) {
        try {
            return new ControlEvent.Membership(
                    new MembershipEvent.MessageReceived(ControlMessage.parseFrom(bytes), 1));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("a message of this program cannot be parsed", e);
        }
    }

    private RecordTable table() {
        RecordTable table = RecordTable.empty();
        for (int i = 0; i < point.nodes(); i++) {
            table = table.put(MemberRecord.of(point.node(i)));
        }
        return table;
    }

    private static byte[] message(Step<MembershipState, MembershipEffect> step) {
        for (MembershipEffect effect : step.effects()) {
            byte[] bytes = encode(effect);
            if (bytes.length > 0) {
                return bytes;
            }
        }
        throw new IllegalStateException("the step sends no message");
    }

    private static byte[] encode(MembershipEffect effect) {
        return switch (effect) {
            case MembershipEffect.Request request -> request.message().toByteArray();
            case MembershipEffect.Send send -> send.message().toByteArray();
            case MembershipEffect.Reply reply -> reply.message().toByteArray();
            default -> new byte[0];
        };
    }

    private static NodeInfo changed(NodeInfo node) {
        List<TargetInfo> targets = new ArrayList<>(node.targets());
        targets.add(toggled(targets.removeFirst()));
        return node.withTargets(targets);
    }

    private static TargetInfo toggled(TargetInfo target) {
        boolean ready = target.state() == TargetState.READY;
        return target.withState(ready ? TargetState.DRAINING : TargetState.READY);
    }
}
