package org.azureshed.directory;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The target beside a node, as the node describes it to others.
 *
 * @param id its identifier, unique among running targets
 * @param bornMillis Unix time of its start in milliseconds; tells starts under one id apart
 * @param service name of its service
 * @param slots requests it runs at the same time
 * @param condition whether it serves
 */
public record TargetEntry(
        String id, long bornMillis, String service, int slots, Condition condition) {
    /** Checks the arguments. */
    public TargetEntry {
        checkNotNull(id, "id");
        checkNotNull(service, "service");
        checkNotNull(condition, "condition");
        checkArgument(slots > 0, "slots must be positive, not %s", slots);
    }

    /**
     * The same target in another condition.
     *
     * @param changed the new condition
     * @return a copy
     */
    public TargetEntry withCondition(Condition changed) {
        return new TargetEntry(id, bornMillis, service, slots, changed);
    }
}
