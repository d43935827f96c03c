package org.azureshed.idempotency;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import java.util.Comparator;

/**
 * State of a range that this node owns.
 *
 * @param lease newest lease of this node that is known to have taken effect
 * @param version version of the platform object with that lease
 * @param renewedMillis this node's monotonic clock before the write of that lease was sent
 * @param consents end of each successor's consent on this node's monotonic clock
 * @param askedMillis this node's monotonic clock when it last asked for consent; before that, when
 *     it sent the write that made it the owner
 * @param completeSinceMillis keys up to this time may have been granted by owners whose records are
 *     lost
 * @param latestKeyMillis largest time of a granted key
 * @param retentionFloorMillis largest platform time by which keys were refused or records dropped
 * @param records records, ordered by the time in the key
 * @param answerBytes total size of the stored answers in bytes
 * @param stopped whether this node stopped granting and handed the range over
 * @param pendingNotices successors that have not acknowledged that the lease names them
 */
record OwnedRange(
        KeyRangeLease lease,
        long version,
        long renewedMillis,
        Map<NodeInstance, Long> consents,
        long askedMillis,
        long completeSinceMillis,
        long latestKeyMillis,
        long retentionFloorMillis,
        TreeMap<IdempotencyKey, KeyRecord> records,
        long answerBytes,
        boolean stopped,
        PendingNotices pendingNotices) {
    private static final Comparator<IdempotencyKey> BY_TIME =
            Comparator.comparingLong(IdempotencyKey::timeMillis)
                    .thenComparing(IdempotencyKey::value)
                    .thenComparing(IdempotencyKey::organisation)
                    .thenComparing(IdempotencyKey::route);

    static OwnedRange of(SentWrite write, long version) {
        return new OwnedRange(
                write.lease(),
                version,
                write.sentMillis(),
                HashMap.empty(),
                write.sentMillis(),
                write.completeSinceMillis(),
                0,
                0,
                TreeMap.empty(BY_TIME),
                0,
                false,
                PendingNotices.of(write.lease(), version));
    }

    OwnedRange renewed(SentWrite write, long newVersion) {
        return new OwnedRange(
                write.lease(),
                newVersion,
                write.sentMillis(),
                consents,
                askedMillis,
                completeSinceMillis,
                latestKeyMillis,
                retentionFloorMillis,
                records,
                answerBytes,
                stopped,
                pendingNotices.renewed(lease.successors(), write.lease(), newVersion));
    }

    OwnedRange withConsents(Map<NodeInstance, Long> newConsents, long newAskedMillis) {
        return new OwnedRange(
                lease,
                version,
                renewedMillis,
                newConsents,
                newAskedMillis,
                completeSinceMillis,
                latestKeyMillis,
                retentionFloorMillis,
                records,
                answerBytes,
                stopped,
                pendingNotices);
    }

    OwnedRange withPendingNotices(PendingNotices newPendingNotices) {
        return new OwnedRange(
                lease,
                version,
                renewedMillis,
                consents,
                askedMillis,
                completeSinceMillis,
                latestKeyMillis,
                retentionFloorMillis,
                records,
                answerBytes,
                stopped,
                newPendingNotices);
    }

    OwnedRange withRetentionFloor(long platformMillis) {
        return withRecords(
                records, answerBytes, Math.max(retentionFloorMillis, platformMillis), stopped);
    }

    OwnedRange withRecord(IdempotencyKey key, KeyRecord record) {
        long before = records.get(key).map(KeyRecord::answerBytes).getOrElse(0L);
        return withRecords(
                records.put(key, record),
                answerBytes + record.answerBytes() - before,
                retentionFloorMillis,
                stopped);
    }

    OwnedRange withoutRecord(IdempotencyKey key) {
        long before = records.get(key).map(KeyRecord::answerBytes).getOrElse(0L);
        return withRecords(
                records.remove(key), answerBytes - before, retentionFloorMillis, stopped);
    }

    OwnedRange asStopped() {
        return withRecords(records, answerBytes, retentionFloorMillis, true);
    }

    private OwnedRange withRecords(
            TreeMap<IdempotencyKey, KeyRecord> newRecords,
            long newAnswerBytes,
            long newRetentionFloor,
            boolean newStopped) {
        long latest =
                newRecords.isEmpty()
                        ? latestKeyMillis
                        : Math.max(latestKeyMillis, newRecords.last()._1.timeMillis());
        return new OwnedRange(
                lease,
                version,
                renewedMillis,
                consents,
                askedMillis,
                completeSinceMillis,
                latest,
                newRetentionFloor,
                newRecords,
                newAnswerBytes,
                newStopped,
                pendingNotices);
    }
}
