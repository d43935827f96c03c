package org.azureshed.idempotency;

/** What the entry side does with a keyed request that was not refused. */
public sealed interface ClaimDecision {
    /**
     * Forward the request once, before the permit ends, and report the outcome.
     *
     * @param permit the permit
     * @param owner who granted it
     */
    record Run(Permit permit, NodeInstance owner) implements ClaimDecision {}

    /**
     * Send the stored answer to the caller.
     *
     * @param answer the answer
     */
    record Replay(StoredAnswer answer) implements ClaimDecision {}
}
