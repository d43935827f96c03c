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
     * A request with the key has completed.
     *
     * @param answer what the target answered
     */
    record Completed(StoredAnswer answer) implements ClaimReply {}

    /** A request with the key is running or may still start. */
    record InProgress() implements ClaimReply {}

    /**
     * A request with the key may have run. No request that was forwarded before this reply will
     * start any more.
     */
    record Unknown() implements ClaimReply {}

    /** The key was already used for a request with other content. */
    record Mismatch() implements ClaimReply {}

    /**
     * The node may not grant keys of the range at present.
     *
     * @param hint holder of the newest lease that the node knows; empty if it knows none
     */
    record NotOwner(Optional<NodeInstance> hint) implements ClaimReply {}

    /** The key is older than the retention time, so its record may have been dropped. */
    record KeyExpired() implements ClaimReply {}

    /** The key's time is further in the future than the limit allows. */
    record KeyFromFuture() implements ClaimReply {}

    /** A previous owner, whose records are lost, may have granted the key. */
    record KeyBeforeTakeover() implements ClaimReply {}

    /** The owner has reached its limit of records or of pending claims. */
    record RecordFull() implements ClaimReply {}
}
