package org.azureshed.idempotency;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.List;

/**
 * Successors that have not acknowledged that the lease names them.
 *
 * @param versions for each of them, the version of the object that first named it; all later
 *     versions name it too
 * @param dueMillis holder's monotonic clock from which they are notified again; {@link
 *     Long#MIN_VALUE} if at once
 */
record PendingNotices(Map<NodeInstance, Long> versions, long dueMillis) {
    /** Resets the due time if no notice is pending, which keeps equal states equal. */
    PendingNotices {
        dueMillis = versions.isEmpty() ? Long.MIN_VALUE : dueMillis;
    }

    static PendingNotices of(KeyRangeLease lease, long version) {
        return new PendingNotices(HashMap.empty(), Long.MIN_VALUE)
                .renewed(List.of(), lease, version);
    }

    /**
     * Adds the successors that the previous lease did not name and removes those that the new lease
     * does not name.
     */
    PendingNotices renewed(List<NodeInstance> before, KeyRangeLease lease, long version) {
        Map<NodeInstance, Long> next = versions.filterKeys(lease.successors()::contains);
        for (NodeInstance successor : lease.successors()) {
            if (!before.contains(successor)) {
                next = next.put(successor, version);
            }
        }
        return new PendingNotices(next, next.equals(versions) ? dueMillis : Long.MIN_VALUE);
    }

    PendingNotices sent(long newDueMillis) {
        return new PendingNotices(versions, newDueMillis);
    }

    /** Removes a successor, unless it read a version older than the one that first named it. */
    PendingNotices acknowledged(NodeInstance successor, long readVersion) {
        boolean valid = versions.get(successor).exists(version -> readVersion >= version);
        return valid ? new PendingNotices(versions.remove(successor), dueMillis) : this;
    }

    boolean isDone() {
        return versions.isEmpty();
    }
}
