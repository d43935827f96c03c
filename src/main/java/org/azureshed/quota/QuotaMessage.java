package org.azureshed.quota;

import java.util.OptionalDouble;

/** A message between nodes about quotas. */
public sealed interface QuotaMessage {
    /**
     * Asks for a grant for one request. The reply is a {@link QuotaDecision}.
     *
     * @param organisation name of the organisation
     * @param limit its limit as the asking node knows it
     * @param hops how often the question has been passed on; bounds the way of a question between
     *     nodes that know different fleets
     */
    record Ask(String organisation, QuotaLimit limit, int hops) implements QuotaMessage {
        /** Returns the question as it is passed on to another node. */
        Ask passedOn() {
            return new Ask(organisation, limit, hops + 1);
        }
    }

    /**
     * Changes which node grants the requests of an organisation. A node that begins to grant sends
     * it without tokens to the nodes that may have granted before; they stop and reply with their
     * tokens. A successor sends it with its tokens to a node that comes before it, to learn whether
     * that one is back; the receiver then has at most these tokens.
     *
     * @param organisation name of the organisation
     * @param limit its limit as the sender knows it
     * @param tokens requests that the sender could grant at once
     */
    record Handover(String organisation, QuotaLimit limit, OptionalDouble tokens)
            implements QuotaMessage {}

    /** Checks whether the receiver is reachable. */
    record Ping() implements QuotaMessage {}

    /** The reply to a message. */
    sealed interface Reply {
        /**
         * Reply to {@link Ask}.
         *
         * @param decision the decision
         */
        record Decided(QuotaDecision decision) implements Reply {}

        /**
         * Reply to {@link Handover}.
         *
         * @param tokens tokens of the replying node; empty if it has not been granting
         */
        record Tokens(OptionalDouble tokens) implements Reply {}

        /** Reply to {@link Ping}. */
        record Reached() implements Reply {}
    }
}
