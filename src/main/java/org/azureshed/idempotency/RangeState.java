package org.azureshed.idempotency;

import io.vavr.collection.List;
import java.util.Optional;

/**
 * What a node knows about one key range, whether or not it is the owner.
 *
 * @param range the range
 * @param lease newest lease that this node has read or written; empty if none
 * @param version version of the object with that lease; 0 if the object does not exist
 * @param unchangedSinceMillis this node's monotonic clock after it first read or wrote that version
 * @param read whether the object was read or written at least once
 * @param writes this node's writes whose effect is not known
 * @param owned state of the range as its owner; empty while this node is not the owner
 * @param consentGivenUntilMillis end of the latest consent that this node gave to a holder
 * @param handOver hand-over that was received and whose lease this node has not yet taken over;
 *     empty if none
 * @param handOverMillis this node's monotonic clock when the hand-over was received
 * @param nextCallMillis earliest time of the next read or write of the object
 */
record RangeState(
        KeyRange range,
        Optional<KeyRangeLease> lease,
        long version,
        long unchangedSinceMillis,
        boolean read,
        List<SentWrite> writes,
        Optional<OwnedRange> owned,
        long consentGivenUntilMillis,
        Optional<HandOver> handOver,
        long handOverMillis,
        long nextCallMillis) {
    static RangeState initial(KeyRange range, long nowMillis) {
        return new RangeState(
                range,
                Optional.empty(),
                0,
                nowMillis,
                false,
                List.empty(),
                Optional.empty(),
                nowMillis,
                Optional.empty(),
                0,
                nowMillis);
    }

    /**
     * Applies a newer version of the object. Writes that expected an older version have failed and
     * are removed.
     */
    RangeState withNewVersion(Optional<KeyRangeLease> newLease, long newVersion, long nowMillis) {
        Optional<HandOver> kept =
                handOver.filter(
                        received ->
                                newLease.filter(now -> sameTerm(now, received.lease()))
                                        .isPresent());
        return new RangeState(
                range,
                newLease,
                newVersion,
                nowMillis,
                true,
                writes.filter(write -> write.expectedVersion() >= newVersion),
                owned,
                consentGivenUntilMillis,
                kept,
                handOverMillis,
                nextCallMillis);
    }

    RangeState withWrites(List<SentWrite> newWrites) {
        return new RangeState(
                range,
                lease,
                version,
                unchangedSinceMillis,
                read,
                newWrites,
                owned,
                consentGivenUntilMillis,
                handOver,
                handOverMillis,
                nextCallMillis);
    }

    RangeState withOwned(Optional<OwnedRange> newOwned) {
        return new RangeState(
                range,
                lease,
                version,
                unchangedSinceMillis,
                read,
                writes,
                newOwned,
                consentGivenUntilMillis,
                handOver,
                handOverMillis,
                nextCallMillis);
    }

    RangeState withConsentGiven(long untilMillis) {
        return new RangeState(
                range,
                lease,
                version,
                unchangedSinceMillis,
                read,
                writes,
                owned,
                Math.max(consentGivenUntilMillis, untilMillis),
                handOver,
                handOverMillis,
                nextCallMillis);
    }

    RangeState withHandOver(Optional<HandOver> newHandOver, long nowMillis) {
        return new RangeState(
                range,
                lease,
                version,
                unchangedSinceMillis,
                read,
                writes,
                owned,
                consentGivenUntilMillis,
                newHandOver,
                nowMillis,
                nextCallMillis);
    }

    RangeState withNextCall(long atMillis) {
        return new RangeState(
                range,
                lease,
                version,
                unchangedSinceMillis,
                read,
                writes,
                owned,
                consentGivenUntilMillis,
                handOver,
                handOverMillis,
                atMillis);
    }

    boolean expectsAnswer() {
        return writes.exists(write -> !write.unanswered());
    }

    static boolean sameTerm(KeyRangeLease first, KeyRangeLease second) {
        return first.epoch() == second.epoch() && first.holder().equals(second.holder());
    }
}
