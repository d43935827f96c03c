package org.azureshed.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How requests of one kind are treated.
 *
 * @param name name used in routes
 * @param longRunning whether the request uses the lane of long work
 * @param idempotent whether the request may run more than once
 * @param deadlineMillis time allowed until the answer starts, in milliseconds
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
