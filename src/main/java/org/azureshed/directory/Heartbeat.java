package org.azureshed.directory;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.azureshed.model.TargetState;

/**
 * One heartbeat of a target.
 *
 * @param id identifier of the target
 * @param bornMillis Unix time of its start in milliseconds; 0 if it does not tell
 * @param sequence grows with each heartbeat of one start
 * @param address IP address and port of the target
 * @param service name of its service
 * @param slots requests it runs at the same time
 * @param state whether it accepts new requests
 * @param warmupLeftMillis how much longer it stays slow after its start
 */
public record Heartbeat(
        String id,
        long bornMillis,
        long sequence,
        String address,
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
        checkArgument(slots > 0, "slots must be positive, not %s", slots);
    }
}
