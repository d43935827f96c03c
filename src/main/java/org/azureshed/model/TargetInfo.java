package org.azureshed.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One target as published in its node's membership record.
 *
 * @param id identifier of the target
 * @param service name of the service that the target is an instance of
 * @param address address on its VM at which the host side reaches the target
 * @param slots number of requests that the target runs at the same time, at least 1
 * @param state lifecycle state that the target announced
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
