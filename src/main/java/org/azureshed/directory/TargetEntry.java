package org.azureshed.directory;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A target as its node publishes it to other nodes.
 *
 * @param id identifier of the target, unique among running targets
 * @param startMillis Unix time of the target's start in milliseconds; distinguishes starts under
 *     the same id
 * @param service name of the target's service
 * @param slots number of requests that the target runs at the same time, at least 1
 * @param condition whether the target accepts requests
 */
public record TargetEntry(
        String id, long startMillis, String service, int slots, Condition condition) {
    /** Checks the arguments. */
    public TargetEntry {
        checkNotNull(id, "id");
        checkNotNull(service, "service");
        checkNotNull(condition, "condition");
        checkArgument(slots > 0, "slots must be positive, not %s", slots);
    }

    /**
     * Copies this entry with another condition.
     *
     * @param changed the new condition
     * @return the copy
     */
    public TargetEntry withCondition(Condition changed) {
        return new TargetEntry(id, startMillis, service, slots, changed);
    }
}
