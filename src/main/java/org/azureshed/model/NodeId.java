package org.azureshed.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies a node across restarts of its process on the same VM.
 *
 * @param value non-empty name, unique in the fleet
 */
public record NodeId(String value) implements Comparable<NodeId> {
    /** Checks the name. */
    public NodeId {
        checkArgument(!value.isBlank(), "node id is empty; set --node-id");
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
