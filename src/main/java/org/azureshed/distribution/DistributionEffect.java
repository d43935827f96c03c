package org.azureshed.distribution;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;

/** Actions that {@link DistributionReducer} requests. */
public sealed interface DistributionEffect {
    /**
     * Starts or stops watching the preset index on the platform.
     *
     * @param watch whether to watch
     */
    record WatchIndex(boolean watch) implements DistributionEffect {}

    /**
     * Fetches contents from a peer and submits an event with the result.
     *
     * @param peer the peer
     * @param endpoint its control address
     * @param digest digest of the contents
     * @param manifest whether it is a manifest rather than a chunk
     */
    record FetchFromPeer(NodeId peer, Endpoint endpoint, ContentDigest digest, boolean manifest)
            implements DistributionEffect {}

    /**
     * Fetches contents from the platform and submits an event with the result.
     *
     * @param digest digest of the contents
     * @param manifest whether it is a manifest rather than a chunk
     */
    record FetchFromPlatform(ContentDigest digest, boolean manifest)
            implements DistributionEffect {}

    /**
     * Puts a preset in force on this node; all its contents are in the {@link ContentStore}.
     *
     * @param number activation number
     * @param manifest digest of the manifest
     * @param chunks digests of the chunks in the order of the manifest
     */
    record Activate(long number, ContentDigest manifest, List<ContentDigest> chunks)
            implements DistributionEffect {
        /** Copies the list. */
        public Activate {
            chunks = List.copyOf(chunks);
        }
    }

    /**
     * Announces the latest known preset to peers.
     *
     * @param announcement the announcement to send
     */
    record Announce(Announcement announcement) implements DistributionEffect {}

    /**
     * Removes all other contents from the {@link ContentStore}.
     *
     * @param digests digests of the contents to keep
     */
    record Retain(Set<ContentDigest> digests) implements DistributionEffect {
        /** Copies the set. */
        public Retain {
            digests = Set.copyOf(digests);
        }
    }

    /**
     * Reports two presets with the same activation number. This node keeps the one it knew first.
     *
     * @param number the activation number
     * @param known digest of the manifest that this node keeps
     * @param other digest of the other manifest
     * @param source the peer that announced it, or empty for the platform
     */
    record ReportConflict(
            long number, ContentDigest known, ContentDigest other, Optional<NodeId> source)
            implements DistributionEffect {}

    /**
     * Writes the preset in force back to a platform that has an older one: first the manifest and
     * chunks that are missing there, then the index, if it still has the expected version.
     *
     * @param number activation number to be written
     * @param manifest digest of the manifest
     * @param chunks digests of the chunks
     * @param expectedVersion version that the index object must have; 0 if it must not exist
     */
    record WriteBack(
            long number, ContentDigest manifest, List<ContentDigest> chunks, long expectedVersion)
            implements DistributionEffect {
        /** Copies the list. */
        public WriteBack {
            chunks = List.copyOf(chunks);
        }
    }
}
