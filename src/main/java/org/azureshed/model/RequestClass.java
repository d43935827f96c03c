package org.azureshed.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Deadline, queueing and retry rules for the requests of a class.
 *
 * @param name name by which routes refer to the class
 * @param longRunning whether the requests count towards the slots that are open to long-running
 *     requests; see {@link ServicePolicy#longLanePercent}
 * @param idempotent whether a request may run more than once
 * @param deadlineMillis longest time until the answer starts, in milliseconds
 * @param queueMillis longest wait for a slot at the host side, in milliseconds
 * @param priority order in the queue among requests of the same deadline; larger goes first
 */
public record RequestClass(
        String name,
        boolean longRunning,
        boolean idempotent,
        long deadlineMillis,
        long queueMillis,
        int priority) {
    /** Checks the fields. */
    public RequestClass {
        checkArgument(!name.isBlank(), "a class has an empty name");
        checkArgument(deadlineMillis > 0, "class %s: deadlineMillis must be above 0", name);
        checkArgument(queueMillis >= 0, "class %s: queueMillis must not be negative", name);
    }
}
