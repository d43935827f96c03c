package org.azureshed.idempotency;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import java.util.Comparator;

/**
 * What an owner keeps for its range.
 *
 * @param lease the newest lease that is known to have taken effect
 * @param version its version
 * @param renewedMillis monotonic clock before that lease was sent
 * @param consents end of each successor's consent on this node's clock
 * @param askedMillis when consent was asked for last
 * @param completeSinceMillis keys up to this time may have been granted by owners whose records are
 *     lost
 * @param latestKeyMillis largest time of a granted key
 * @param retentionFloorMillis largest platform time by which keys were refused or records dropped
 * @param records records in order of key time
 * @param answerBytes size of the stored answers
 * @param stopped whether the range was handed over
 * @param notices successors that have not acknowledged that they are named
 */
record Holding(
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
        Notices notices) {
    private static final Comparator<IdempotencyKey> BY_TIME =
            Comparator.comparingLong(IdempotencyKey::timeMillis)
                    .thenComparing(IdempotencyKey::value)
                    .thenComparing(IdempotencyKey::organisation)
                    .thenComparing(IdempotencyKey::route);

    static Holding of(SentWrite write, long version) {
        return new Holding(
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
                Notices.of(write.lease(), version));
    }

    Holding renewed(SentWrite write, long newVersion) {
        return new Holding(
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
                notices.renewed(lease.successors(), write.lease(), newVersion));
    }

    Holding withConsents(Map<NodeInstance, Long> newConsents, long newAskedMillis) {
        return new Holding(
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
                notices);
    }

    Holding withNotices(Notices newNotices) {
        return new Holding(
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
                newNotices);
    }

    Holding withFloor(long platformMillis) {
        return withRecords(
                records, answerBytes, Math.max(retentionFloorMillis, platformMillis), stopped);
    }

    Holding withRecord(IdempotencyKey key, KeyRecord record) {
        long before = records.get(key).map(KeyRecord::answerBytes).getOrElse(0L);
        return withRecords(
                records.put(key, record),
                answerBytes + record.answerBytes() - before,
                retentionFloorMillis,
                stopped);
    }

    Holding withoutRecord(IdempotencyKey key) {
        long before = records.get(key).map(KeyRecord::answerBytes).getOrElse(0L);
        return withRecords(
                records.remove(key), answerBytes - before, retentionFloorMillis, stopped);
    }

    Holding asStopped() {
        return withRecords(records, answerBytes, retentionFloorMillis, true);
    }

    private Holding withRecords(
            TreeMap<IdempotencyKey, KeyRecord> newRecords,
            long newAnswerBytes,
            long newFloor,
            boolean newStopped) {
        long latest =
                newRecords.isEmpty()
                        ? latestKeyMillis
                        : Math.max(latestKeyMillis, newRecords.last()._1.timeMillis());
        return new Holding(
                lease,
                version,
                renewedMillis,
                consents,
                askedMillis,
                completeSinceMillis,
                latest,
                newFloor,
                newRecords,
                newAnswerBytes,
                newStopped,
                notices);
    }
}
