package org.azureshed.membership;

import java.util.List;
import org.azureshed.generated.Activation;
import org.azureshed.generated.ControlMessage;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;

/** Input of the membership reducer. */
public sealed interface MembershipEvent {
    /**
     * A gossip round is due; submitted once a second.
     *
     * @param nowMillis this node's monotonic clock in milliseconds
     * @param seed seed of the random choices until the next round
     */
    record GossipDue(long nowMillis, long seed) implements MembershipEvent {}

    /**
     * This node's own record changed.
     *
     * @param self the new record
     */
    record SelfChanged(NodeInfo self) implements MembershipEvent {}

    /** This node is about to exit and will not return with the same incarnation. */
    record SelfLeaving() implements MembershipEvent {}

    /**
     * Records were read from the platform.
     *
     * @param nodes the records
     */
    record RecordsRead(List<NodeInfo> nodes) implements MembershipEvent {
        /** Copies the list. */
        public RecordsRead {
            nodes = List.copyOf(nodes);
        }
    }

    /**
     * A record was deleted from the platform.
     *
     * @param id the node
     * @param incarnation incarnation of the deleted record
     * @param sequence sequence of the deleted record
     */
    record RecordDeleted(NodeId id, long incarnation, long sequence) implements MembershipEvent {}

    /**
     * A peer sent a message.
     *
     * @param message a request or a message that needs no reply
     * @param replyToken identifies the request in {@link MembershipEffect.Reply}
     */
    record MessageReceived(ControlMessage message, long replyToken) implements MembershipEvent {}

    /**
     * A reply to a request of this node arrived.
     *
     * @param purpose purpose of the request
     * @param reply the reply
     */
    record ReplyReceived(RequestPurpose purpose, ControlMessage reply) implements MembershipEvent {}

    /**
     * A request of this node got no reply.
     *
     * @param purpose purpose of the request
     */
    record RequestFailed(RequestPurpose purpose) implements MembershipEvent {}

    /**
     * Traffic could not reach a peer, so the reducer pings it.
     *
     * @param peer the peer
     */
    record ContactFailed(NodeId peer) implements MembershipEvent {}

    /**
     * This node has new poison suspects or ejection notices to gossip.
     *
     * @param deltas the suspects and notices; node records in it are ignored
     */
    record GossipEntriesAdded(GossipDeltas deltas) implements MembershipEvent {}

    /**
     * The preset that this node announces to peers changed.
     *
     * @param activation the latest preset that this node knows; it is in force here only if it is
     *     complete
     */
    record ActivationChanged(Activation activation) implements MembershipEvent {}
}
