package org.azureshed.membership;

import org.azureshed.generated.GossipDeltas;

/**
 * A poison suspect or ejection notice that passes from node to node.
 *
 * @param deltas the one record
 * @param version larger versions of the same key replace smaller ones
 * @param receivedMillis when it arrived
 * @param exchangesLeft how many more gossip exchanges carry it
 */
public record SpreadItem(
        GossipDeltas deltas, long version, long receivedMillis, int exchangesLeft) {
    SpreadItem sent() {
        return new SpreadItem(deltas, version, receivedMillis, exchangesLeft - 1);
    }
}
