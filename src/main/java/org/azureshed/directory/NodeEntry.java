package org.azureshed.directory;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.azureshed.model.Endpoint;

/**
 * One node and the target beside it. Only the node itself changes its entry, except that departures
 * are kept: a node that restarted may not know what its former process acknowledged.
 *
 * @param name name of the node
 * @param availabilityZone availability zone of the node
 * @param address endpoint on which the node accepts requests from other nodes
 * @param incarnation grows with each start of the node's process
 * @param revision grows with each change within an incarnation
 * @param target the target beside the node, or empty if none has announced itself
 * @param departures departures of targets beside the node that it has acknowledged
 */
public record NodeEntry(
        String name,
        String availabilityZone,
        Endpoint address,
        long incarnation,
        long revision,
        Optional<TargetEntry> target,
        Departures departures) {
    /** Checks the arguments. */
    public NodeEntry {
        checkNotNull(name, "name");
        checkNotNull(availabilityZone, "availabilityZone");
        checkNotNull(address, "address");
        checkNotNull(target, "target");
        checkNotNull(departures, "departures");
    }

    /**
     * Copies this entry with more departures.
     *
     * @param more departures to add
     * @return the copy, or this entry if it has them all
     */
    public NodeEntry withDepartures(Departures more) {
        return departures.containsAll(more)
                ? this
                : new NodeEntry(
                        name,
                        availabilityZone,
                        address,
                        incarnation,
                        revision,
                        target,
                        departures.union(more));
    }

    /**
     * Whether this entry is newer than another one of the same node.
     *
     * @param other the entry known so far
     * @return true if this entry has the higher incarnation, or the same and a higher revision
     */
    public boolean supersedes(NodeEntry other) {
        return incarnation != other.incarnation
                ? incarnation > other.incarnation
                : revision > other.revision;
    }
}
