package org.azureshed.idempotency;

import java.util.Optional;

/**
 * Input of {@link OwnerReducer}. Times are of this node's monotonic clock; {@code nowMillis} is
 * read after the message or answer arrived, {@code sentMillis} before the call was made.
 */
public sealed interface OwnerEvent {
    /**
     * When the event happened.
     *
     * @return this node's monotonic clock in milliseconds
     */
    long nowMillis();

    /**
     * Time passed.
     *
     * @param nowMillis time of the event
     */
    record Tick(long nowMillis) implements OwnerEvent {}

    /**
     * The reachable nodes changed.
     *
     * @param placement assignment of ranges to the reachable nodes
     * @param nowMillis time of the event
     */
    record ViewChanged(RangePlacement placement, long nowMillis) implements OwnerEvent {}

    /**
     * A read of a lease was answered.
     *
     * @param range the range
     * @param lease content, or empty if the object does not exist
     * @param version version of the object; 0 if it does not exist
     * @param sentMillis time before the call
     * @param nowMillis time after the answer
     * @param serverMillis platform time in the answer; 0 if it has none
     */
    record LeaseRead(
            KeyRange range,
            Optional<KeyRangeLease> lease,
            long version,
            long sentMillis,
            long nowMillis,
            long serverMillis)
            implements OwnerEvent {}

    /**
     * A read of a lease failed.
     *
     * @param range the range
     * @param nowMillis time of the event
     */
    record ReadFailed(KeyRange range, long nowMillis) implements OwnerEvent {}

    /**
     * A write took effect.
     *
     * @param lease lease that was written
     * @param version new version
     * @param sentMillis time before the call
     * @param nowMillis time after the answer
     * @param serverMillis platform time in the answer
     */
    record WriteAccepted(
            KeyRangeLease lease, long version, long sentMillis, long nowMillis, long serverMillis)
            implements OwnerEvent {}

    /**
     * A write certainly had no effect, because the object has another version or because the call
     * was refused.
     *
     * @param lease lease that was to be written
     * @param conflict whether the object has another version
     * @param nowMillis time of the event
     */
    record WriteRefused(KeyRangeLease lease, boolean conflict, long nowMillis)
            implements OwnerEvent {}

    /**
     * The answer to a write was lost. The write may have taken effect, may still take effect, or
     * may never do so.
     *
     * @param lease lease that was to be written
     * @param nowMillis time of the event
     */
    record WriteUnanswered(KeyRangeLease lease, long nowMillis) implements OwnerEvent {}

    /**
     * An entry side claims a key.
     *
     * @param claim the claim
     * @param nowMillis time of the event
     */
    record ClaimReceived(Claim claim, long nowMillis) implements OwnerEvent {}

    /**
     * An entry side reports an outcome.
     *
     * @param report the report
     * @param nowMillis time of the event
     */
    record OutcomeReported(OutcomeReport report, long nowMillis) implements OwnerEvent {}

    /**
     * A holder notified this node that it is named as successor.
     *
     * @param lease range, holder and epoch of the holder's lease; used only after a read of the
     *     platform has confirmed it
     * @param version version of the object that names this node
     * @param token to be returned in the answer
     * @param nowMillis time of the event
     */
    record SuccessorNoticed(LeaseTerm lease, long version, long token, long nowMillis)
            implements OwnerEvent {}

    /**
     * A successor answered that it has read the lease that names it.
     *
     * @param lease range, holder and epoch from the notice
     * @param successor process that answered
     * @param version version of the object that it has read
     * @param nowMillis time of the event
     */
    record SuccessorAcknowledged(
            LeaseTerm lease, NodeInstance successor, long version, long nowMillis)
            implements OwnerEvent {}

    /**
     * A listing of the platform names this node as successor.
     *
     * @param range the range
     * @param nowMillis time of the event
     */
    record NamedAsSuccessor(KeyRange range, long nowMillis) implements OwnerEvent {}

    /**
     * A holder that cannot renew asks for consent.
     *
     * @param range the range
     * @param holder the holder
     * @param epoch epoch of its lease
     * @param token to be returned in the answer
     * @param nowMillis time of the event
     */
    record ConsentAsked(KeyRange range, NodeInstance holder, long epoch, long token, long nowMillis)
            implements OwnerEvent {}

    /**
     * A successor answered a request for consent.
     *
     * @param range the range
     * @param epoch epoch of the lease in the request
     * @param successor process that answered
     * @param granted whether it consented
     * @param askedMillis this node's clock before it asked
     * @param nowMillis time of the event
     */
    record ConsentAnswered(
            KeyRange range,
            long epoch,
            NodeInstance successor,
            boolean granted,
            long askedMillis,
            long nowMillis)
            implements OwnerEvent {}

    /**
     * A stopping owner handed its records over.
     *
     * @param handOver the records
     * @param nowMillis time of the event
     */
    record HandOverReceived(HandOver handOver, long nowMillis) implements OwnerEvent {}

    /**
     * The process stops as planned.
     *
     * @param nowMillis time of the event
     */
    record StopRequested(long nowMillis) implements OwnerEvent {}
}
