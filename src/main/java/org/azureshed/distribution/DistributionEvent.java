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
     * @param seed random number
     */
    record Due(long nowMillis, long seed) implements DistributionEvent {}

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
     * A peer told which preset is in force there.
     *
     * @param peer the peer
     * @param endpoint its control address
     * @param announcement what it told
     */
    record Heard(NodeId peer, Endpoint endpoint, Announcement announcement)
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
     * A fetch brought nothing usable.
     *
     * @param digest digest of what was to be fetched
     * @param source the peer asked, or empty for the platform
     */
    record FetchFailed(ContentDigest digest, Optional<NodeId> source)
            implements DistributionEvent {}
}
