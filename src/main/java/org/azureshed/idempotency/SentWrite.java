package org.azureshed.idempotency;

/**
 * Write of a lease that was sent and whose effect is not known.
 *
 * @param lease new content of the object
 * @param expectedVersion version that the object must have for the write to take effect
 * @param sentMillis this node's monotonic clock before the write was sent
 * @param completeSinceMillis value of {@link OwnedRange#completeSinceMillis} if the write takes
 *     effect
 * @param fromHandOver whether the write takes over the lease of a received hand-over, with its
 *     records
 * @param unanswered true if the answer was lost; false if it is still expected
 */
record SentWrite(
        KeyRangeLease lease,
        long expectedVersion,
        long sentMillis,
        long completeSinceMillis,
        boolean fromHandOver,
        boolean unanswered) {
    SentWrite asUnanswered() {
        return new SentWrite(
                lease, expectedVersion, sentMillis, completeSinceMillis, fromHandOver, true);
    }
}
