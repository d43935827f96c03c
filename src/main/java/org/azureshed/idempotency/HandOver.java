package org.azureshed.idempotency;

import java.util.List;
import java.util.Optional;

/**
 * What a stopping owner sends to its successor. The sender grants nothing more under the lease.
 *
 * @param lease the sender's lease
 * @param version version of the platform object that the sender last knew; 0 if it was not sent
 * @param completeSinceMillis keys up to this time may have been granted by owners whose records are
 *     lost
 * @param retentionFloorMillis platform time by which the sender can have refused old keys
 * @param records all records
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

    HandOver withFloor(long platformMillis) {
        return new HandOver(
                lease,
                version,
                completeSinceMillis,
                Math.max(retentionFloorMillis, platformMillis),
                records);
    }

    /**
     * One record, with times relative to the sending.
     *
     * @param key the key
     * @param fingerprint content of the granted request
     * @param claim the granted claim
     * @param permitLeftMillis time until the work cannot start any more
     * @param unknownLeftMillis time until the outcome counts as unknown
     * @param answer the answer, if a completion was reported
     */
    public record Entry(
            IdempotencyKey key,
            ContentFingerprint fingerprint,
            ClaimId claim,
            long permitLeftMillis,
            long unknownLeftMillis,
            Optional<StoredAnswer> answer) {}
}
