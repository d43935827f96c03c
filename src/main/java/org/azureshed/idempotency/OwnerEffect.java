package org.azureshed.idempotency;

/** What the shell has to carry out for {@link OwnerReducer}. */
public sealed interface OwnerEffect {
    /**
     * Reads a lease and submits {@link OwnerEvent.LeaseRead} or {@link OwnerEvent.ReadFailed}.
     *
     * @param range the range
     */
    record ReadLease(KeyRange range) implements OwnerEffect {}

    /**
     * Writes a lease once and submits {@link OwnerEvent.WriteAccepted}, {@link
     * OwnerEvent.WriteRefused} or {@link OwnerEvent.WriteUnanswered}.
     *
     * @param lease the content
     * @param expectedVersion version that the object must have; 0 if it must not exist
     * @param sentMillis time to return in the event
     */
    record WriteLease(KeyRangeLease lease, long expectedVersion, long sentMillis)
            implements OwnerEffect {}

    /**
     * Answers a claim.
     *
     * @param claim the claim
     * @param reply the answer
     */
    record AnswerClaim(ClaimId claim, ClaimReply reply) implements OwnerEffect {}

    /**
     * Tells a node that it is a successor, and submits {@link OwnerEvent.SuccessorAcknowledged} if
     * it replies that it has read so.
     *
     * @param to the successor
     * @param lease range, holder and epoch of this node's lease
     * @param version version of the object that names the successor
     */
    record NotifySuccessor(NodeInstance to, LeaseTerm lease, long version) implements OwnerEffect {}

    /**
     * Answers a notice.
     *
     * @param lease range, holder and epoch from the notice
     * @param named whether this node has read that it is named
     * @param version version that it has read; 0 if none
     * @param token token from the notice
     */
    record AnswerNotice(LeaseTerm lease, boolean named, long version, long token)
            implements OwnerEffect {}

    /**
     * Asks a successor for consent.
     *
     * @param to the successor
     * @param lease this node's lease
     * @param askedMillis time to return in the answer
     */
    record AskConsent(NodeInstance to, KeyRangeLease lease, long askedMillis)
            implements OwnerEffect {}

    /**
     * Answers a request for consent.
     *
     * @param to the holder
     * @param range the range
     * @param epoch epoch of the lease in the request
     * @param granted whether this node consents
     * @param askedMillis time from the request
     */
    record AnswerConsent(
            NodeInstance to, KeyRange range, long epoch, boolean granted, long askedMillis)
            implements OwnerEffect {}

    /**
     * Sends the records of a range to its successor.
     *
     * @param to the successor
     * @param handOver the records
     */
    record SendHandOver(NodeInstance to, HandOver handOver) implements OwnerEffect {}
}
