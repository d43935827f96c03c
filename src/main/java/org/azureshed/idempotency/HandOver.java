package org.azureshed.idempotency;

import java.util.List;
import java.util.Optional;

/**
 * Records of a range that a stopping owner sends to its successor. The sender grants no more keys
 * under the lease.
 *
 * @param lease the sender's lease
 * @param version version of the platform object that the sender last knew; 0 if the message has
 *     none
 * @param completeSinceMillis keys up to this time may have been granted by owners whose records are
 *     lost
 * @param retentionFloorMillis largest platform time by which the sender may have refused keys as
 *     expired
 * @param records all records of the range
 */
public record HandOver(
        KeyRangeLease lease,
        long version,
        long completeSinceMillis,
        long retentionFloorMillis,
        List<Entry> records) {
    /** Copies the records. */
    public HandOver {
        records = List.copyOf(records);
    }

    HandOver withRetentionFloor(long platformMillis) {
        return new HandOver(
                lease,
                version,
                completeSinceMillis,
                Math.max(retentionFloorMillis, platformMillis),
                records);
    }

    /**
     * One record, with its times relative to the moment of sending.
     *
     * @param key idempotency key of the record
     * @param fingerprint content of the granted request
     * @param claim the granted claim
     * @param permitLeftMillis milliseconds after which the work cannot start any more
     * @param unknownLeftMillis milliseconds after which the outcome counts as unknown
     * @param answer stored answer; empty if no completion was reported
     */
    public record Entry(
            IdempotencyKey key,
            ContentFingerprint fingerprint,
            ClaimId claim,
            long permitLeftMillis,
            long unknownLeftMillis,
            Optional<StoredAnswer> answer) {}
}
