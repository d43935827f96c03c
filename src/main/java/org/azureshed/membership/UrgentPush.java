package org.azureshed.membership;

import java.util.ArrayList;
import java.util.List;
import org.azureshed.generated.ControlMessage;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.generated.GossipPush;
import org.azureshed.model.NodeId;

/**
 * Pushes urgent deltas to peers immediately, without waiting for a gossip round.
 *
 * <p>Each node forwards a delta once, when it first receives it, to {@link #FAN_OUT} peers. This
 * reaches more than 99% of the fleet within a few round trips, even if one message in ten is lost;
 * the gossip rounds reach the rest.
 */
final class UrgentPush {
    static final int FAN_OUT = 6;

    /** With a fan-out of six, 5 hops reach 2,400 nodes; three more compensate for losses. */
    static final int MAX_HOPS = 8;

    private UrgentPush() {}

    static void push(Draft draft, GossipDeltas deltas, int hops) {
        if (hops <= 0 || deltas.getSerializedSize() == 0) {
            return;
        }
        ControlMessage message =
                ControlMessage.newBuilder()
                        .setGossipPush(
                                GossipPush.newBuilder()
                                        .setDeltas(deltas)
                                        .setHops(Math.min(hops, MAX_HOPS) - 1))
                        .build();
        send(draft, message);
    }

    /** Sends a message to {@link #FAN_OUT} peers. */
    static void send(Draft draft, ControlMessage message) {
        draft.refreshPeers();
        for (NodeId peer : choosePeers(draft)) {
            draft.endpoint(peer).ifPresent(to -> draft.add(new MembershipEffect.Send(to, message)));
        }
    }

    /**
     * Chooses half of the peers in this zone and half in others, so that a push still crosses a
     * partial partition between zones.
     */
    private static List<NodeId> choosePeers(Draft draft) {
        PeerIndex peers = draft.state.peers();
        List<NodeId> chosen = new ArrayList<>();
        for (int i = 0; i < FAN_OUT; i++) {
            List<NodeId> first = i % 2 == 0 ? peers.sameZone() : peers.otherZones();
            List<NodeId> second = i % 2 == 0 ? peers.otherZones() : peers.sameZone();
            draft.randomPeer(first, chosen)
                    .or(() -> draft.randomPeer(second, chosen))
                    .ifPresent(chosen::add);
        }
        return chosen;
    }
}
