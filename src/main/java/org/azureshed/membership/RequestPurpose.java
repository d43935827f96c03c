package org.azureshed.membership;

import java.util.List;
import java.util.Optional;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;

/**
 * Why a request was sent. It is returned with the result, so no state is kept for open requests.
 */
public sealed interface RequestPurpose {
    /**
     * Exchange of digests.
     *
     * @param peer the peer, or empty if the request went to a seed whose id is unknown
     * @param endpoint address of the peer
     */
    record Gossip(Optional<NodeId> peer, Endpoint endpoint) implements RequestPurpose {}

    /**
     * Exchange of the versions in differing buckets.
     *
     * @param peer the peer, or empty if the request went to a seed whose id is unknown
     * @param endpoint address of the peer
     * @param buckets the buckets in the order of the request
     */
    record Sync(Optional<NodeId> peer, Endpoint endpoint, List<Integer> buckets)
            implements RequestPurpose {
        /** Copies the list. */
        public Sync {
            buckets = List.copyOf(buckets);
        }
    }

    /**
     * Direct ping.
     *
     * @param peer the peer
     */
    record DirectPing(NodeId peer) implements RequestPurpose {}

    /**
     * Request to another node to ping the peer.
     *
     * @param peer the peer
     */
    record ProbeByOther(NodeId peer) implements RequestPurpose {}

    /**
     * Ping on behalf of another node.
     *
     * @param replyToken token of the other node's request
     * @param peer the pinged node
     */
    record PingForOther(long replyToken, NodeId peer) implements RequestPurpose {}
}
