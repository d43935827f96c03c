package org.azureshed.idempotency;

import io.vavr.collection.List;
import java.util.Optional;

/**
 * What a node knows of one range.
 *
 * @param range the range
 * @param lease the newest lease that was read or written, if any
 * @param version its version; 0 if the object does not exist
 * @param knownSinceMillis monotonic clock after that version was seen first
 * @param read whether the object was read at least once
 * @param writes writes whose effect is not known
 * @param holding present while this node is the holder
 * @param promisedUntilMillis end of the consent that this node gave
 * @param handOver received hand-over that is not yet taken, if any
 * @param handOverMillis when it was received
 * @param nextCallMillis when the platform is called next
 */
record RangeState(
        KeyRange range,
        Optional<KeyRangeLease> lease,
        long version,
        long knownSinceMillis,
        boolean read,
        List<SentWrite> writes,
        Optional<Holding> holding,
        long promisedUntilMillis,
        Optional<HandOver> handOver,
        long handOverMillis,
        long nextCallMillis) {
    static RangeState untouched(KeyRange range, long nowMillis) {
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

    /** A newer version was seen, so writes that expected an older one have failed. */
    RangeState seen(Optional<KeyRangeLease> newLease, long newVersion, long nowMillis) {
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
                holding,
                promisedUntilMillis,
                kept,
                handOverMillis,
                nextCallMillis);
    }

    RangeState withWrites(List<SentWrite> newWrites) {
        return new RangeState(
                range,
                lease,
                version,
                knownSinceMillis,
                read,
                newWrites,
                holding,
                promisedUntilMillis,
                handOver,
                handOverMillis,
                nextCallMillis);
    }

    RangeState withHolding(Optional<Holding> newHolding) {
        return new RangeState(
                range,
                lease,
                version,
                knownSinceMillis,
                read,
                writes,
                newHolding,
                promisedUntilMillis,
                handOver,
                handOverMillis,
                nextCallMillis);
    }

    RangeState withPromise(long untilMillis) {
        return new RangeState(
                range,
                lease,
                version,
                knownSinceMillis,
                read,
                writes,
                holding,
                Math.max(promisedUntilMillis, untilMillis),
                handOver,
                handOverMillis,
                nextCallMillis);
    }

    RangeState withHandOver(Optional<HandOver> newHandOver, long nowMillis) {
        return new RangeState(
                range,
                lease,
                version,
                knownSinceMillis,
                read,
                writes,
                holding,
                promisedUntilMillis,
                newHandOver,
                nowMillis,
                nextCallMillis);
    }

    RangeState withNextCall(long atMillis) {
        return new RangeState(
                range,
                lease,
                version,
                knownSinceMillis,
                read,
                writes,
                holding,
                promisedUntilMillis,
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
