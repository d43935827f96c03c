package org.azureshed.idempotency;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.List;

/**
 * Successors that have not acknowledged that they are named.
 *
 * @param versions for each, the version of the object from which on it is named without a break
 * @param dueMillis holder's monotonic clock from which they are notified again
 */
record Notices(Map<NodeInstance, Long> versions, long dueMillis) {
    /** A state without open notices has one form only. */
    Notices {
        dueMillis = versions.isEmpty() ? Long.MIN_VALUE : dueMillis;
    }

    static Notices of(KeyRangeLease lease, long version) {
        return new Notices(HashMap.empty(), Long.MIN_VALUE).renewed(List.of(), lease, version);
    }

    /** Adds the successors that the previous lease did not name and drops those not named now. */
    Notices renewed(List<NodeInstance> before, KeyRangeLease lease, long version) {
        Map<NodeInstance, Long> next = versions.filterKeys(lease.successors()::contains);
        for (NodeInstance successor : lease.successors()) {
            if (!before.contains(successor)) {
                next = next.put(successor, version);
            }
        }
        return new Notices(next, next.equals(versions) ? dueMillis : Long.MIN_VALUE);
    }

    Notices sent(long newDueMillis) {
        return new Notices(versions, newDueMillis);
    }

    /** An answer from before the successor was named counts for nothing. */
    Notices acknowledged(NodeInstance successor, long readVersion) {
        boolean valid = versions.get(successor).exists(version -> readVersion >= version);
        return valid ? new Notices(versions.remove(successor), dueMillis) : this;
    }

    boolean isDone() {
        return versions.isEmpty();
    }
}
