package org.azureshed.model;

import java.util.List;

/**
 * Membership record that a node publishes about itself.
 *
 * @param id identifier of the node
 * @param region region of its VM
 * @param availabilityZone availability zone of its VM
 * @param entry address of the entry listener, for callers
 * @param host address of the host listener, for other nodes
 * @param control address of the control listener, for other nodes
 * @param incarnation start time of the process in milliseconds since the epoch; grows with each
 *     restart
 * @param sequence grows by one with each change within an incarnation
 * @param draining whether the node is stopping and takes no new requests
 * @param targets the targets on the node's VM
 */
public record NodeInfo(
        NodeId id,
        String region,
        String availabilityZone,
        Endpoint entry,
        Endpoint host,
        Endpoint control,
        long incarnation,
        long sequence,
        boolean draining,
        List<TargetInfo> targets) {
    /** Copies the list of targets. */
    public NodeInfo {
        targets = List.copyOf(targets);
    }

    /**
     * Whether this record is newer than another one of the same node.
     *
     * @param other the record known so far
     * @return true if this record has the higher incarnation, or the same and a higher sequence
     */
    public boolean supersedes(NodeInfo other) {
        return incarnation != other.incarnation
                ? incarnation > other.incarnation
                : sequence > other.sequence;
    }

    /**
     * Copies this record with other targets and the next sequence number.
     *
     * @param newTargets targets of the copy
     * @return the copy
     */
    public NodeInfo withTargets(List<TargetInfo> newTargets) {
        return new NodeInfo(
                id,
                region,
                availabilityZone,
                entry,
                host,
                control,
                incarnation,
                sequence + 1,
                draining,
                newTargets);
    }

    /**
     * Copies this record as draining, with the next sequence number.
     *
     * @return the copy
     */
    public NodeInfo asDraining() {
        return new NodeInfo(
                id,
                region,
                availabilityZone,
                entry,
                host,
                control,
                incarnation,
                sequence + 1,
                true,
                targets);
    }
}
