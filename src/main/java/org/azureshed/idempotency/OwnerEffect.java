package org.azureshed.idempotency;

/** Effect of {@link OwnerReducer}: input or output that the shell carries out for it. */
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
     * @param lease new content of the object
     * @param expectedVersion version that the object must have; 0 if it must not exist
     * @param sentMillis this node's monotonic clock, to be copied into the event
     */
    record WriteLease(KeyRangeLease lease, long expectedVersion, long sentMillis)
            implements OwnerEffect {}

    /**
     * Answers a claim.
     *
     * @param claim id of the claim
     * @param reply answer to the entry side
     */
    record AnswerClaim(ClaimId claim, ClaimReply reply) implements OwnerEffect {}

    /**
     * Tells a node that a lease names it as successor, and submits {@link
     * OwnerEvent.SuccessorAcknowledged} if the node replies that it has read that lease.
     *
     * @param to the successor
     * @param lease range, holder and epoch of this node's lease
     * @param version version of the object that names the successor
     */
    record NotifySuccessor(NodeInstance to, LeaseTerm lease, long version) implements OwnerEffect {}

    /**
     * Answers a notice that names this node as successor.
     *
     * @param lease range, holder and epoch from the notice
     * @param named whether this node has read that it is named
     * @param version version of the object that this node has read; 0 if none
     * @param token token from the notice
     */
    record AnswerNotice(LeaseTerm lease, boolean named, long version, long token)
            implements OwnerEffect {}

    /**
     * Asks a successor for consent.
     *
     * @param to the successor
     * @param lease this node's lease
     * @param askedMillis this node's monotonic clock, to be copied into {@link
     *     OwnerEvent.ConsentAnswered}
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
     * @param token token from the request
     */
    record AnswerConsent(NodeInstance to, KeyRange range, long epoch, boolean granted, long token)
            implements OwnerEffect {}

    /**
     * Sends the records of a range to its successor.
     *
     * @param to the successor
     * @param handOver the records
     */
    record SendHandOver(NodeInstance to, HandOver handOver) implements OwnerEffect {}
}
