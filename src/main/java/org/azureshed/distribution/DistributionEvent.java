package org.azureshed.distribution;

import java.util.List;
import java.util.Optional;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;

/** Input of the distribution reducer. */
public sealed interface DistributionEvent {
    /**
     * Time passed; submitted once a second.
     *
     * @param nowMillis this node's monotonic clock in milliseconds
     * @param seed seed of the random choices until the next tick
     */
    record Tick(long nowMillis, long seed) implements DistributionEvent {}

    /**
     * The reachable nodes of the own availability zone changed.
     *
     * @param reachable their ids, with this node's
     */
    record ZoneChanged(List<NodeId> reachable) implements DistributionEvent {
        /** Copies the list. */
        public ZoneChanged {
            reachable = List.copyOf(reachable);
        }
    }

    /**
     * The preset index was read from the platform.
     *
     * @param inForce the preset in force; empty if there is no index or none is in force
     * @param objectVersion version of the index object; 0 if there is none
     */
    record IndexRead(Optional<Announcement> inForce, long objectVersion)
            implements DistributionEvent {}

    /**
     * A peer announced the latest preset that it knows.
     *
     * @param peer the peer
     * @param endpoint its control address
     * @param announcement its announcement
     */
    record AnnouncementReceived(NodeId peer, Endpoint endpoint, Announcement announcement)
            implements DistributionEvent {}

    /**
     * A manifest was fetched, checked and stored.
     *
     * @param digest its digest
     * @param chunks digests of its chunks
     */
    record ManifestStored(ContentDigest digest, List<ContentDigest> chunks)
            implements DistributionEvent {
        /** Copies the list. */
        public ManifestStored {
            chunks = List.copyOf(chunks);
        }
    }

    /**
     * A chunk was fetched, checked and stored.
     *
     * @param digest its digest
     */
    record ChunkStored(ContentDigest digest) implements DistributionEvent {}

    /**
     * A fetch failed or returned unusable contents.
     *
     * @param digest digest of the requested contents
     * @param source the peer that was asked, or empty for the platform
     */
    record FetchFailed(ContentDigest digest, Optional<NodeId> source)
            implements DistributionEvent {}
}
