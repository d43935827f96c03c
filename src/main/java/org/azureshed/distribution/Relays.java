package org.azureshed.distribution;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.azureshed.model.NodeId;

/** Chooses the relays of an availability zone: the nodes with the highest rendezvous hash. */
public final class Relays {
    /** Relays of each availability zone; one may fail while another has stale data. */
    public static final int PER_ZONE = 3;

    private Relays() {}

    /**
     * Tells whether a node is a relay.
     *
     * @param node the node
     * @param reachableInZone the reachable nodes of its availability zone, including itself
     * @return true if fewer than {@link #PER_ZONE} of them rank before it
     */
    public static boolean isRelay(NodeId node, Collection<NodeId> reachableInZone) {
        return rank(node, reachableInZone) < PER_ZONE;
    }

    /**
     * Position of a node in the order of rendezvous hashes.
     *
     * @param node the node
     * @param reachableInZone the reachable nodes of its availability zone
     * @return the number of nodes that rank before it
     */
    public static int rank(NodeId node, Collection<NodeId> reachableInZone) {
        long own = weight(node);
        int before = 0;
        for (NodeId other : reachableInZone) {
            long weight = weight(other);
            if (weight > own || weight == own && other.compareTo(node) < 0) {
                before++;
            }
        }
        return before;
    }

    private static long weight(NodeId node) {
        return Hashing.murmur3_128(7).hashString(node.value(), StandardCharsets.UTF_8).asLong();
    }
}
