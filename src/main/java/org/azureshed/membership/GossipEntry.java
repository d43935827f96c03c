package org.azureshed.membership;

import org.azureshed.generated.GossipDeltas;

/**
 * A poison suspect or ejection notice that is gossiped through the fleet.
 *
 * @param deltas a message with just this suspect or notice
 * @param version larger versions of the same key replace smaller ones
 * @param receivedMillis time of arrival in milliseconds on this node's clock
 * @param exchangesLeft remaining gossip exchanges that send it
 */
public record GossipEntry(
        GossipDeltas deltas, long version, long receivedMillis, int exchangesLeft) {
    GossipEntry sent() {
        return new GossipEntry(deltas, version, receivedMillis, exchangesLeft - 1);
    }
}
