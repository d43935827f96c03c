package org.azureshed.directory;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * One node and the target beside it. Only the node itself writes its entry.
 *
 * @param name name of the node
 * @param availabilityZone its availability zone
 * @param address IP address and port where it takes requests from other nodes
 * @param incarnation grows with each start of the node's process
 * @param revision grows with each change within an incarnation
 * @param target the target beside it, if it has announced itself
 */
public record NodeEntry(
        String name,
        String availabilityZone,
        String address,
        long incarnation,
        long revision,
        Optional<TargetEntry> target) {
    /** Checks the arguments. */
    public NodeEntry {
        checkNotNull(name, "name");
        checkNotNull(availabilityZone, "availabilityZone");
        checkNotNull(address, "address");
        checkNotNull(target, "target");
    }

    /**
     * Whether this entry replaces another one of the same node.
     *
     * @param other the entry known so far
     * @return true if this one is newer
     */
    public boolean supersedes(NodeEntry other) {
        return incarnation != other.incarnation
                ? incarnation > other.incarnation
                : revision > other.revision;
    }
}
