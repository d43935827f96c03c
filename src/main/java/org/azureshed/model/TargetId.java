package org.azureshed.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies one instance of a service.
 *
 * @param value non-empty name, unique in the fleet
 */
public record TargetId(String value) implements Comparable<TargetId> {
    /** Checks the name. */
    public TargetId {
        checkArgument(!value.isBlank(), "target id is empty; announce the target with an id");
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
