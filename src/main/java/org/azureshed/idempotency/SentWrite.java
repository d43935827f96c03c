package org.azureshed.idempotency;

/**
 * A write of a lease whose effect is not known.
 *
 * @param lease what was written
 * @param expectedVersion version that the object must have
 * @param sentMillis monotonic clock before the write was sent
 * @param completeSinceMillis {@link Holding#completeSinceMillis} if the write takes effect
 * @param fromHandOver whether the records of the hand-over belong to the write
 * @param unanswered whether the answer was lost, as opposed to still expected
 */
record SentWrite(
        KeyRangeLease lease,
        long expectedVersion,
        long sentMillis,
        long completeSinceMillis,
        boolean fromHandOver,
        boolean unanswered) {
    SentWrite lost() {
        return new SentWrite(
                lease, expectedVersion, sentMillis, completeSinceMillis, fromHandOver, true);
    }
}
