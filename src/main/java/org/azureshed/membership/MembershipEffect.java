package org.azureshed.membership;

import java.util.List;
import org.azureshed.generated.Activation;
import org.azureshed.generated.ControlMessage;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;

/** Actions that {@link MembershipReducer} requests. */
public sealed interface MembershipEffect {
    /**
     * Sends a request and submits {@link MembershipEvent.ReplyReceived} or {@link
     * MembershipEvent.RequestFailed}.
     *
     * @param to control address of the receiver
     * @param message the request
     * @param purpose returned with the result
     * @param timeoutMillis timeout in milliseconds
     */
    record Request(Endpoint to, ControlMessage message, RequestPurpose purpose, long timeoutMillis)
            implements MembershipEffect {}

    /**
     * Sends a message that needs no reply.
     *
     * @param to control address of the receiver
     * @param message the message
     */
    record Send(Endpoint to, ControlMessage message) implements MembershipEffect {}

    /**
     * Replies to a request.
     *
     * @param replyToken token of {@link MembershipEvent.MessageReceived}
     * @param message the reply
     */
    record Reply(long replyToken, ControlMessage message) implements MembershipEffect {}

    /**
     * The view of the other nodes changed.
     *
     * @param updated new or changed records
     * @param removed nodes that left the view
     */
    record ViewChanged(List<NodeInfo> updated, List<NodeId> removed) implements MembershipEffect {
        /** Copies the lists. */
        public ViewChanged {
            updated = List.copyOf(updated);
            removed = List.copyOf(removed);
        }
    }

    /**
     * A peer became reachable or unreachable in this node's own view.
     *
     * @param peer the peer
     * @param reachable the new state
     */
    record ReachabilityChanged(NodeId peer, boolean reachable) implements MembershipEffect {}

    /**
     * This node's own record has to be published again, because a peer or the platform has another
     * version of it.
     *
     * @param self the record to publish; its version may have been raised
     */
    record SelfRepaired(NodeInfo self) implements MembershipEffect {}

    /**
     * Another process uses this node's id.
     *
     * @param other record of the other process
     */
    record DuplicateNodeId(NodeInfo other) implements MembershipEffect {}

    /**
     * Deletes the record of an unreachable node from the platform if it still has this version, and
     * submits {@link MembershipEvent.RecordDeleted} once it is gone.
     *
     * @param id the node
     * @param incarnation incarnation that the record must have
     * @param sequence sequence that the record must have
     */
    record DeleteRecord(NodeId id, long incarnation, long sequence) implements MembershipEffect {}

    /**
     * New poison suspects or ejection notices arrived by gossip.
     *
     * @param deltas the suspects and notices, without node records
     */
    record GossipEntriesReceived(GossipDeltas deltas) implements MembershipEffect {}

    /**
     * A peer announced the latest preset that it knows.
     *
     * @param peer the peer
     * @param endpoint its control address
     * @param activation the announced preset
     */
    record ActivationReceived(NodeId peer, Endpoint endpoint, Activation activation)
            implements MembershipEffect {}
}
