package org.azureshed.idempotency;

import java.util.Optional;
import org.azureshed.model.Outcome;

/**
 * Tells the owner what became of a granted claim.
 *
 * @param claim the claim
 * @param key its key
 * @param outcome what became of the work
 * @param answer answer to repeat, if the work completed and the answer is small
 */
public record OutcomeReport(
        ClaimId claim, IdempotencyKey key, Outcome outcome, Optional<StoredAnswer> answer) {}
