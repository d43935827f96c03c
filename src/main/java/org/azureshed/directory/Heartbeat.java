package org.azureshed.directory;

import static com.google.common.base.Preconditions.checkNotNull;

import org.azureshed.model.Endpoint;
import org.azureshed.model.TargetState;

/**
 * One heartbeat of a target.
 *
 * @param id identifier of the target
 * @param startMillis Unix time of the target's start in milliseconds; 0 if not given
 * @param sequence grows with each heartbeat, and begins anew at each start
 * @param address endpoint of the target
 * @param service name of its service
 * @param slots number of requests that the target runs at the same time, from 1 to {@link
 *     TargetEntry#MAX_SLOTS}
 * @param state whether the target accepts new requests
 * @param warmupLeftMillis time in milliseconds until the target has warmed up after its start; 0 if
 *     it has
 */
public record Heartbeat(
        String id,
        long startMillis,
        long sequence,
        Endpoint address,
        String service,
        int slots,
        TargetState state,
        long warmupLeftMillis) {
    /** Checks the arguments. */
    public Heartbeat {
        checkNotNull(id, "id");
        checkNotNull(address, "address");
        checkNotNull(service, "service");
        checkNotNull(state, "state");
        TargetEntry.checkIdAndSlots(id, slots);
    }
}
