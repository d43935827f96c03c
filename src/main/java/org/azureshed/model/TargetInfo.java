package org.azureshed.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What is known of one target.
 *
 * @param id the target
 * @param service the service that it is an instance of
 * @param address where the host side reaches it on its VM
 * @param slots requests it runs at the same time, at least 1
 * @param state lifecycle state
 */
public record TargetInfo(
        TargetId id, String service, Endpoint address, int slots, TargetState state) {
    /** Checks the fields. */
    public TargetInfo {
        checkArgument(!service.isBlank(), "service of target %s is empty", id);
        checkArgument(slots > 0, "target %s announces %s slots; at least 1 is needed", id, slots);
    }

    /**
     * Copies this target with another state.
     *
     * @param newState the state of the copy
     * @return the copy
     */
    public TargetInfo withState(TargetState newState) {
        return new TargetInfo(id, service, address, slots, newState);
    }
}
