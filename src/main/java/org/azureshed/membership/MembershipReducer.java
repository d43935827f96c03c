package org.azureshed.membership;

import java.util.List;
import java.util.Optional;
import org.azureshed.control.Step;
import org.azureshed.generated.Activation;
import org.azureshed.generated.ControlMessage;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.generated.NodeRecord;
import org.azureshed.generated.PresetAnnouncement;
import org.azureshed.generated.RecordPatch;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;

/**
 * Decides which records a node gossips to its peers and which received records it accepts.
 *
 * <pre>{@code
 * Step<MembershipState, MembershipEffect> step =
 *         reducer.reduce(state, new MembershipEvent.GossipDue(nowMillis, random.nextLong()));
 * }</pre>
 */
public final class MembershipReducer {
    /** One exchange in this many goes to another availability zone. */
    private static final int OTHER_ZONE_ONE_IN = 5;

    /** One exchange in this many goes to an unreachable peer, to detect its recovery. */
    private static final int UNREACHABLE_ONE_IN = 8;

    /** One exchange in this many goes to a seed, so that two partitions can merge. */
    private static final int SEED_ONE_IN = 60;

    private final List<Endpoint> seeds;

    /**
     * Creates a reducer.
     *
     * @param seeds control addresses from the settings, used while no peer is known and for
     *     occasional exchanges
     */
    public MembershipReducer(List<Endpoint> seeds) {
        this.seeds = List.copyOf(seeds);
    }

    /**
     * Reduces one event.
     *
     * @param state the state before the event
     * @param event the event
     * @return the state after the event and the effects to carry out
     */
    public Step<MembershipState, MembershipEffect> reduce(
            MembershipState state, MembershipEvent event) {
        Draft draft = new Draft(state);
        switch (event) {
            case MembershipEvent.GossipDue(long now, long seed) -> {
                draft = new Draft(state.withTime(now, seed));
                round(draft);
            }
            case MembershipEvent.SelfChanged(NodeInfo self) -> changeSelf(draft, self);
            case MembershipEvent.SelfLeaving() -> leave(draft);
            case MembershipEvent.RecordsRead(List<NodeInfo> nodes) -> read(draft, nodes);
            case MembershipEvent.RecordDeleted deleted -> delete(draft, deleted);
            case MembershipEvent.MessageReceived(ControlMessage message, long token) ->
                    receive(draft, message, token);
            case MembershipEvent.ReplyReceived(RequestPurpose purpose, ControlMessage reply) ->
                    replied(draft, purpose, reply);
            case MembershipEvent.RequestFailed(RequestPurpose purpose) -> failed(draft, purpose);
            case MembershipEvent.ContactFailed(NodeId peer) -> FailureDetection.ping(draft, peer);
            case MembershipEvent.GossipEntriesAdded(GossipDeltas deltas) ->
                    UrgentPush.push(
                            draft, GossipEntryMerge.merge(draft, deltas), UrgentPush.MAX_HOPS);
            case MembershipEvent.ActivationChanged(Activation activation) ->
                    changeActivation(draft, activation);
        }
        return draft.finish();
    }

    private void round(Draft draft) {
        draft.refreshPeers();
        FailureDetection.advance(draft);
        GossipEntryMerge.expire(draft);
        expireTombstones(draft);
        Optional<NodeId> peer = choosePeer(draft);
        Optional<Endpoint> endpoint = peer.flatMap(draft::endpoint);
        if (endpoint.isPresent()) {
            GossipExchange.start(draft, endpoint.get(), peer);
        } else if (!seeds.isEmpty()) {
            Endpoint seed = seeds.get(draft.random.nextInt(seeds.size()));
            if (!seed.equals(draft.state.self().control())) {
                GossipExchange.start(draft, seed, Optional.empty());
            }
        }
    }

    /** Chooses a peer; empty if the exchange goes to a seed. */
    private static Optional<NodeId> choosePeer(Draft draft) {
        PeerIndex peers = draft.state.peers();
        if (draft.random.nextInt(SEED_ONE_IN) == 0) {
            return Optional.empty();
        }
        if (draft.random.nextInt(UNREACHABLE_ONE_IN) == 0) {
            var avoided = draft.state.reachability().filterValues(Reachability::avoided);
            if (!avoided.isEmpty()) {
                int index = draft.random.nextInt(avoided.size());
                return Optional.of(avoided.keySet().toList().get(index));
            }
        }
        boolean toOtherZone = draft.random.nextInt(OTHER_ZONE_ONE_IN) == 0;
        List<NodeId> first = toOtherZone ? peers.otherZones() : peers.sameZone();
        List<NodeId> second = toOtherZone ? peers.sameZone() : peers.otherZones();
        return draft.randomPeer(first, List.of()).or(() -> draft.randomPeer(second, List.of()));
    }

    private static void expireTombstones(Draft draft) {
        // One bucket a round, so each tombstone is checked every 256 s.
        int bucket = (int) (draft.state.nowMillis() / 1_000 % RecordTable.BUCKETS);
        for (MemberRecord record : draft.state.table().bucket(bucket)) {
            if (record.removed() && RecordMerge.expired(draft, record)) {
                draft.state = draft.state.withTable(draft.state.table().remove(record));
            }
        }
    }

    private static void read(Draft draft, List<NodeInfo> nodes) {
        NodeInfo self = draft.state.self();
        for (NodeInfo node : nodes) {
            RecordMerge.merge(draft, MemberRecord.of(node), false);
            if (node.id().equals(self.id()) && self.supersedes(node)) {
                // The platform was restored from an older copy, or lost a write.
                draft.add(new MembershipEffect.SelfRepaired(self));
            }
        }
    }

    private static void changeSelf(Draft draft, NodeInfo self) {
        MemberRecord before = draft.state.table().get(self.id()).orElseThrow();
        MemberRecord after = MemberRecord.of(self);
        if (!after.supersedes(before)) {
            return;
        }
        draft.state = draft.state.withSelf(self);
        Optional<RecordPatch> patch = RecordPatches.between(before, after);
        draft.state =
                draft.state.withOwnChanges(
                        OwnChange.append(draft.state.ownChanges(), patch, draft.state.nowMillis()));
        if (RecordMerge.urgent(before, after)) {
            NodeRecord fullRecord = RecordCodec.encode(after, draft.state.nowMillis());
            GossipDeltas deltas = OwnChange.deltas(draft.state.ownChanges(), fullRecord);
            UrgentPush.push(draft, deltas, UrgentPush.MAX_HOPS);
        } else {
            RecordMerge.addRecentChange(draft, self.id(), patch);
        }
    }

    /**
     * Announces a complete preset to some peers immediately, so that they can fetch it from here.
     */
    private static void changeActivation(Draft draft, Activation activation) {
        draft.state = draft.state.withActivation(activation);
        if (activation.getComplete()) {
            PresetAnnouncement announcement =
                    PresetAnnouncement.newBuilder()
                            .setSender(draft.state.self().id().value())
                            .setActivation(activation)
                            .build();
            UrgentPush.send(
                    draft, ControlMessage.newBuilder().setPresetAnnouncement(announcement).build());
        }
    }

    private static void leave(Draft draft) {
        NodeInfo self = draft.state.self();
        MemberRecord tombstone =
                MemberRecord.tombstone(
                        self.id(),
                        self.incarnation(),
                        self.sequence() + 1,
                        draft.state.nowMillis());
        draft.state = draft.state.withLeaving().withTable(draft.state.table().put(tombstone));
        push(draft, tombstone);
    }

    private static void push(Draft draft, MemberRecord record) {
        NodeRecord encoded = RecordCodec.encode(record, draft.state.nowMillis());
        UrgentPush.push(
                draft, GossipDeltas.newBuilder().addNodes(encoded).build(), UrgentPush.MAX_HOPS);
    }

    private static void delete(Draft draft, MembershipEvent.RecordDeleted deleted) {
        MemberRecord tombstone =
                MemberRecord.tombstone(
                        deleted.id(),
                        deleted.incarnation(),
                        deleted.sequence(),
                        draft.state.nowMillis());
        if (RecordMerge.merge(draft, tombstone, true)) {
            push(draft, tombstone);
        }
    }

    private static void receive(Draft draft, ControlMessage message, long token) {
        switch (message.getBodyCase()) {
            case GOSSIP_REQUEST -> {
                var request = message.getGossipRequest();
                mergeDeltas(draft, request.getDeltas(), UrgentPush.MAX_HOPS);
                receiveActivation(draft, request.getSender(), request.getActivation());
                draft.add(new MembershipEffect.Reply(token, GossipExchange.reply(draft, request)));
            }
            case SYNC_REQUEST ->
                    draft.add(
                            new MembershipEffect.Reply(
                                    token, GossipExchange.reply(draft, message.getSyncRequest())));
            case GOSSIP_PUSH ->
                    mergeDeltas(
                            draft,
                            message.getGossipPush().getDeltas(),
                            message.getGossipPush().getHops());
            case PING ->
                    draft.add(new MembershipEffect.Reply(token, FailureDetection.pingReply(draft)));
            case INDIRECT_PING ->
                    FailureDetection.pingForOther(draft, message.getIndirectPing(), token);
            case PRESET_ANNOUNCEMENT ->
                    receiveActivation(
                            draft,
                            message.getPresetAnnouncement().getSender(),
                            message.getPresetAnnouncement().getActivation());
            default -> {
                // Messages of other packages are handled elsewhere.
            }
        }
    }

    private static void replied(Draft draft, RequestPurpose purpose, ControlMessage reply) {
        switch (purpose) {
            case RequestPurpose.Gossip(Optional<NodeId> peer, Endpoint to) -> {
                var body = reply.getGossipReply();
                peer.ifPresent(id -> checkReplySender(draft, id, body.getSender()));
                mergeDeltas(draft, body.getDeltas(), UrgentPush.MAX_HOPS);
                receiveActivation(draft, body.getSender(), body.getActivation());
                GossipExchange.compare(draft, body, peer, to);
            }
            case RequestPurpose.Sync sync -> {
                RecordMerge.merge(draft, reply.getSyncReply().getDeltas(), false);
                GossipExchange.finish(draft, reply.getSyncReply(), sync);
            }
            case RequestPurpose.DirectPing(NodeId peer) ->
                    checkReplySender(draft, peer, reply.getPingReply().getSender());
            case RequestPurpose.ProbeByOther(NodeId peer) ->
                    FailureDetection.probeEnded(
                            draft, peer, reply.getIndirectPingReply().getReachable());
            case RequestPurpose.PingForOther(long token, NodeId peer) -> {
                boolean reachable = peer.value().equals(reply.getPingReply().getSender());
                draft.add(
                        new MembershipEffect.Reply(
                                token, FailureDetection.indirectReply(reachable)));
            }
        }
    }

    /**
     * Checks the sender of a reply, because a replaced VM may reuse the address of an earlier node.
     */
    private static void checkReplySender(Draft draft, NodeId peer, String sender) {
        if (peer.value().equals(sender)) {
            FailureDetection.markReachable(draft, peer);
        } else {
            FailureDetection.startProbing(draft, peer);
        }
    }

    private static void failed(Draft draft, RequestPurpose purpose) {
        switch (purpose) {
            case RequestPurpose.Gossip(Optional<NodeId> peer, Endpoint to) ->
                    peer.ifPresent(id -> FailureDetection.startProbing(draft, id));
            case RequestPurpose.Sync sync -> {
                // The next gossip round compares the tables again.
            }
            case RequestPurpose.DirectPing(NodeId peer) ->
                    FailureDetection.startProbing(draft, peer);
            case RequestPurpose.ProbeByOther(NodeId peer) ->
                    FailureDetection.probeEnded(draft, peer, false);
            case RequestPurpose.PingForOther(long token, NodeId peer) ->
                    draft.add(
                            new MembershipEffect.Reply(
                                    token, FailureDetection.indirectReply(false)));
        }
    }

    /** Merges deltas and forwards the urgent changes and the new suspects and notices. */
    private static void mergeDeltas(Draft draft, GossipDeltas deltas, int hops) {
        GossipDeltas urgent = RecordMerge.merge(draft, deltas, true);
        GossipDeltas gossipEntries = GossipEntryMerge.merge(draft, deltas);
        if (gossipEntries.getSerializedSize() > 0) {
            draft.add(new MembershipEffect.GossipEntriesReceived(gossipEntries));
        }
        UrgentPush.push(draft, gossipEntries.toBuilder().mergeFrom(urgent).build(), hops);
    }

    private static void receiveActivation(Draft draft, String sender, Activation activation) {
        if (activation.getNumber() > 0 && !sender.isBlank()) {
            NodeId id = new NodeId(sender);
            draft.endpoint(id)
                    .ifPresent(
                            endpoint ->
                                    draft.add(
                                            new MembershipEffect.ActivationReceived(
                                                    id, endpoint, activation)));
        }
    }
}
