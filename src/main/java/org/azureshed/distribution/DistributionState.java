package org.azureshed.distribution;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import java.util.List;
import java.util.Optional;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;

/**
 * State of the distribution reducer.
 *
 * @param self this node
 * @param relay whether this node is a relay, which watches the platform
 * @param latest the announcement with the highest known activation number
 * @param chunks chunks of the latest preset; empty until its manifest is stored
 * @param inForce the preset in force on this node
 * @param storedDigests digests of stored contents
 * @param sources peers that have the latest preset completely
 * @param fetches fetches in flight with their start times in milliseconds
 * @param index the preset index that was last read from the platform
 * @param conflict manifest of the conflict that was last reported
 * @param changedMillis when a preset was last put in force on this node
 * @param writtenMillis when the last write-back to the platform started
 * @param nowMillis time of the last {@link DistributionEvent.Tick}
 * @param seed source of the next random numbers
 */
public record DistributionState(
        NodeId self,
        boolean relay,
        Optional<Announcement> latest,
        Optional<List<ContentDigest>> chunks,
        Optional<Announcement> inForce,
        Set<ContentDigest> storedDigests,
        Map<NodeId, Endpoint> sources,
        Map<ContentDigest, Long> fetches,
        Optional<Index> index,
        Optional<ContentDigest> conflict,
        long changedMillis,
        long writtenMillis,
        long nowMillis,
        long seed) {
    /**
     * The platform's preset index as it was read.
     *
     * @param number activation number; 0 if no preset is in force there
     * @param objectVersion version of the object; 0 if there is none
     * @param readMillis when it was read
     */
    public record Index(long number, long objectVersion, long readMillis) {}

    /**
     * State of a node that knows no preset.
     *
     * @param self the node
     * @param seed seed of the random choices until the first tick
     * @return a state without an announcement or stored contents
     */
    public static DistributionState initial(NodeId self, long seed) {
        return new DistributionState(
                self,
                false,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                HashSet.empty(),
                HashMap.empty(),
                HashMap.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                0,
                seed);
    }

    /**
     * The highest known activation number.
     *
     * @return the number; 0 if none
     */
    public long latestNumber() {
        return latest.map(Announcement::number).orElse(0L);
    }

    /**
     * The activation number in force on this node.
     *
     * @return the number; 0 if none
     */
    public long numberInForce() {
        return inForce.map(Announcement::number).orElse(0L);
    }
}
