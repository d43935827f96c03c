package org.azureshed.idempotency;

import java.util.Optional;

/** The owner's answer to a claim. */
public sealed interface ClaimReply {
    /**
     * The work may start.
     *
     * @param lengthMillis length of the permit, counted by the entry side from before it sent the
     *     claim
     * @param epoch epoch of the owner's lease
     */
    record Granted(long lengthMillis, long epoch) implements ClaimReply {}

    /**
     * The work was done.
     *
     * @param answer what the target answered
     */
    record Completed(StoredAnswer answer) implements ClaimReply {}

    /** A request with the key is running or may still start. */
    record InProgress() implements ClaimReply {}

    /** A request with the key may have run; none of those sent so far will start any more. */
    record Unknown() implements ClaimReply {}

    /** The key was used with other content. */
    record Mismatch() implements ClaimReply {}

    /**
     * The node may not grant keys of the range at present.
     *
     * @param hint the holder that it knows of
     */
    record NotOwner(Optional<NodeInstance> hint) implements ClaimReply {}

    /** The key is older than records are kept. */
    record KeyExpired() implements ClaimReply {}

    /** The key's time lies in the future. */
    record KeyFromFuture() implements ClaimReply {}

    /** A previous owner, whose records are lost, may have granted the key. */
    record KeyBeforeTakeover() implements ClaimReply {}

    /** The owner's memory for records is full. */
    record RecordFull() implements ClaimReply {}
}
