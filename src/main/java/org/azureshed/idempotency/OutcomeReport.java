package org.azureshed.idempotency;

import java.util.Optional;
import org.azureshed.model.Outcome;

/**
 * Report of the outcome of a granted claim, which an entry side sends to the owner of the key.
 *
 * @param claim id of the granted claim
 * @param key key of the claim
 * @param outcome outcome of the work
 * @param answer answer to store for later requests with the key; empty if the work did not complete
 *     or the answer is too large
 */
public record OutcomeReport(
        ClaimId claim, IdempotencyKey key, Outcome outcome, Optional<StoredAnswer> answer) {}
