package org.azureshed.directory;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.CharMatcher;

/**
 * A target as its node publishes it to other nodes.
 *
 * @param id identifier of the target, unique among running targets
 * @param startMillis Unix time of the target's start in milliseconds; distinguishes starts under
 *     the same id
 * @param service name of the target's service
 * @param slots number of requests that the target runs at the same time, from 1 to {@link
 *     #MAX_SLOTS}
 * @param condition whether the target accepts requests
 */
public record TargetEntry(
        String id, long startMillis, String service, int slots, Condition condition) {
    /** Exceeds any real target; a sum over all targets of a fleet stays within 32 bits. */
    public static final int MAX_SLOTS = 1 << 16;

    private static final int MAX_ID_LENGTH = 256;

    /** Printable ASCII without the separators of the header that names the target in offers. */
    private static final CharMatcher ID_CHARACTERS =
            CharMatcher.inRange('!', '~').and(CharMatcher.noneOf(";="));

    /** Checks the arguments. */
    public TargetEntry {
        checkNotNull(id, "id");
        checkNotNull(service, "service");
        checkNotNull(condition, "condition");
        checkIdAndSlots(id, slots);
    }

    /**
     * Checks the identifier of a target.
     *
     * @param id the identifier
     * @throws IllegalArgumentException if it is empty, too long or has a reserved character
     */
    public static void checkId(String id) {
        checkArgument(!id.isEmpty() && id.length() <= MAX_ID_LENGTH, "id is empty or too long");
        checkArgument(ID_CHARACTERS.matchesAllOf(id), "id \"%s\" has a reserved character", id);
    }

    /** Checks what a heartbeat and a published entry have in common. */
    static void checkIdAndSlots(String id, int slots) {
        checkId(id);
        checkArgument(
                slots > 0 && slots <= MAX_SLOTS,
                "slots must be from 1 to %s, not %s",
                MAX_SLOTS,
                slots);
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
