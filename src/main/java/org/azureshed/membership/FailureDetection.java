package org.azureshed.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azureshed.distribution.Relays;
import org.azureshed.generated.ControlMessage;
import org.azureshed.generated.IndirectPing;
import org.azureshed.generated.IndirectPingReply;
import org.azureshed.generated.Ping;
import org.azureshed.generated.PingReply;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;

/** Pings peers and tracks those that do not reply, for this node's own view only. */
final class FailureDetection {
    static final long PING_TIMEOUT_MILLIS = 500;

    /** Includes the timeout of the ping that the helper sends. */
    private static final long INDIRECT_TIMEOUT_MILLIS = 2 * PING_TIMEOUT_MILLIS + 200;

    private static final int INDIRECT_PINGS = 2;

    /** Tolerates a peer's pause due to garbage collection or an overloaded VM. */
    private static final long SUSPECT_MILLIS = 3_000;

    /** Time after which an unreachable peer is hidden; longer than a VM restart. */
    static final long HIDE_MILLIS = 10 * 60 * 1_000L;

    /**
     * Interval at which the delete of a hidden peer's record is repeated, since it fails while the
     * platform is unavailable.
     */
    private static final long DELETE_INTERVAL_MILLIS = 60_000;

    private FailureDetection() {}

    static void markReachable(Draft draft, NodeId peer) {
        Optional<Reachability> known = draft.state.reachability().get(peer).toJavaOptional();
        if (known.isEmpty()) {
            return;
        }
        unhide(draft, peer);
        draft.state = draft.state.withReachability(draft.state.reachability().remove(peer));
        if (known.get().avoided()) {
            draft.add(new MembershipEffect.ReachabilityChanged(peer, true));
        }
    }

    /** Returns a hidden record to the view; the peer stays unreachable until it replies. */
    static void unhide(Draft draft, NodeId peer) {
        boolean hidden =
                draft.state
                        .reachability()
                        .get(peer)
                        .exists(known -> known.stage() == Reachability.Stage.HIDDEN);
        if (hidden) {
            set(draft, peer, Reachability.Stage.UNREACHABLE);
            draft.state.table().get(peer).flatMap(MemberRecord::info).ifPresent(draft::updated);
        }
    }

    /** Starts indirect pings after a peer did not reply or another node replied in its place. */
    static void startProbing(Draft draft, NodeId peer) {
        if (draft.state.reachability().containsKey(peer) || draft.endpoint(peer).isEmpty()) {
            return;
        }
        draft.refreshPeers();
        List<NodeId> helpers = new ArrayList<>(List.of(peer));
        for (int i = 0; i < INDIRECT_PINGS; i++) {
            // One helper in this zone and one outside, because partitions often follow zone
            // borders.
            PeerIndex peers = draft.state.peers();
            List<NodeId> first = i == 0 ? peers.sameZone() : peers.otherZones();
            List<NodeId> second = i == 0 ? peers.otherZones() : peers.sameZone();
            draft.randomPeer(first, helpers)
                    .or(() -> draft.randomPeer(second, helpers))
                    .ifPresent(helpers::add);
        }
        helpers.remove(peer);
        helpers.forEach(helper -> requestIndirectPing(draft, helper, peer));
        Reachability probing =
                new Reachability(
                        Reachability.Stage.PROBING, draft.state.nowMillis(), helpers.size());
        put(draft, peer, probing);
        if (helpers.isEmpty()) {
            set(draft, peer, Reachability.Stage.SUSPECT);
        }
    }

    private static void requestIndirectPing(Draft draft, NodeId helper, NodeId peer) {
        Optional<Endpoint> to = draft.endpoint(helper);
        Optional<Endpoint> target = draft.endpoint(peer);
        if (to.isEmpty() || target.isEmpty()) {
            return;
        }
        ControlMessage probe =
                ControlMessage.newBuilder()
                        .setIndirectPing(
                                IndirectPing.newBuilder()
                                        .setSender(draft.state.self().id().value())
                                        .setTarget(peer.value())
                                        .setTargetControl(RecordCodec.address(target.get())))
                        .build();
        draft.request(
                to.get(), probe, new RequestPurpose.ProbeByOther(peer), INDIRECT_TIMEOUT_MILLIS);
    }

    static void probeEnded(Draft draft, NodeId peer, boolean reachable) {
        Optional<Reachability> known = draft.state.reachability().get(peer).toJavaOptional();
        if (known.isEmpty() || known.get().avoided()) {
            return;
        }
        if (reachable) {
            draft.state = draft.state.withReachability(draft.state.reachability().remove(peer));
            return;
        }
        if (known.get().stage() == Reachability.Stage.SUSPECT) {
            return;
        }
        int left = Math.max(0, known.get().openProbes() - 1);
        put(
                draft,
                peer,
                new Reachability(Reachability.Stage.PROBING, known.get().sinceMillis(), left));
        if (left == 0) {
            set(draft, peer, Reachability.Stage.SUSPECT);
        }
    }

    static void ping(Draft draft, NodeId peer) {
        draft.endpoint(peer)
                .ifPresent(
                        endpoint ->
                                draft.request(
                                        endpoint,
                                        pingMessage(draft),
                                        new RequestPurpose.DirectPing(peer),
                                        PING_TIMEOUT_MILLIS));
    }

    static void pingForOther(Draft draft, IndirectPing request, long token) {
        Endpoint target;
        NodeId peer;
        try {
            target = RecordCodec.endpoint(request.getTargetControl());
            peer = new NodeId(request.getTarget());
        } catch (IllegalArgumentException ignored) {
            draft.add(new MembershipEffect.Reply(token, indirectReply(false)));
            return;
        }
        draft.request(
                target,
                pingMessage(draft),
                new RequestPurpose.PingForOther(token, peer),
                PING_TIMEOUT_MILLIS);
    }

    static ControlMessage indirectReply(boolean reachable) {
        return ControlMessage.newBuilder()
                .setIndirectPingReply(IndirectPingReply.newBuilder().setReachable(reachable))
                .build();
    }

    static ControlMessage pingReply(Draft draft) {
        return ControlMessage.newBuilder()
                .setPingReply(
                        PingReply.newBuilder()
                                .setSender(draft.state.self().id().value())
                                .setIncarnation(draft.state.self().incarnation()))
                .build();
    }

    /** Moves peers to the next stage when their time in the current one is over. */
    static void advance(Draft draft) {
        long now = draft.state.nowMillis();
        for (var entry : draft.state.reachability()) {
            NodeId peer = entry._1;
            Reachability known = entry._2;
            long stageMillis = now - known.sinceMillis();
            switch (known.stage()) {
                case PROBING -> {
                    // True only if results of the indirect pings were never submitted.
                    if (stageMillis > 2 * INDIRECT_TIMEOUT_MILLIS) {
                        set(draft, peer, Reachability.Stage.SUSPECT);
                    }
                }
                case SUSPECT -> {
                    if (stageMillis >= SUSPECT_MILLIS) {
                        set(draft, peer, Reachability.Stage.UNREACHABLE);
                        draft.add(new MembershipEffect.ReachabilityChanged(peer, false));
                    } else {
                        ping(draft, peer);
                        // The first two helpers may have been unreachable themselves.
                        draft.randomPeer(draft.state.peers().otherZones(), List.of())
                                .or(
                                        () ->
                                                draft.randomPeer(
                                                        draft.state.peers().sameZone(), List.of()))
                                .ifPresent(helper -> requestIndirectPing(draft, helper, peer));
                    }
                }
                case UNREACHABLE -> {
                    if (stageMillis >= HIDE_MILLIS) {
                        set(draft, peer, Reachability.Stage.HIDDEN);
                        draft.removed(peer);
                        delete(draft, peer);
                    }
                }
                case HIDDEN -> {
                    if (stageMillis >= DELETE_INTERVAL_MILLIS) {
                        set(draft, peer, Reachability.Stage.HIDDEN);
                        delete(draft, peer);
                    }
                }
                default -> throw new IllegalStateException("stage " + known.stage());
            }
        }
    }

    /**
     * Deletes the record if this node is a relay of the peer's zone. Nodes gossip most within their
     * own zone, so those of the peer's zone know best whether it is reachable.
     */
    private static void delete(Draft draft, NodeId peer) {
        MembershipState state = draft.state;
        boolean ownZone = state.peers().sameZone().contains(peer);
        if (ownZone && Relays.isRelay(state.self().id(), state.reachableInZone())) {
            MemberRecord record = state.table().get(peer).orElseThrow();
            draft.add(
                    new MembershipEffect.DeleteRecord(
                            peer, record.incarnation(), record.sequence()));
        }
    }

    private static ControlMessage pingMessage(Draft draft) {
        return ControlMessage.newBuilder()
                .setPing(Ping.newBuilder().setSender(draft.state.self().id().value()))
                .build();
    }

    private static void set(Draft draft, NodeId peer, Reachability.Stage stage) {
        put(draft, peer, Reachability.of(stage, draft.state.nowMillis()));
    }

    private static void put(Draft draft, NodeId peer, Reachability reachability) {
        draft.state =
                draft.state.withReachability(draft.state.reachability().put(peer, reachability));
    }
}
