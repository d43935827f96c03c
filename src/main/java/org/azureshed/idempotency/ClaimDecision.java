package org.azureshed.idempotency;

/** What the entry side does with a keyed request that was not refused. */
public sealed interface ClaimDecision {
    /**
     * Forward the request once, before the permit ends, and report the outcome.
     *
     * @param permit limits the time in which the work may start
     * @param owner process that granted the permit and takes the report
     */
    record Run(Permit permit, NodeInstance owner) implements ClaimDecision {}

    /**
     * Send the stored answer to the caller.
     *
     * @param answer answer of the earlier request with the same key
     */
    record Replay(StoredAnswer answer) implements ClaimDecision {}
}
