package org.azureshed.idempotency;

/**
 * Right of an entry side to have the work of one key started within a limited time.
 *
 * @param claim id of the granted claim
 * @param key key of the claim
 * @param epoch epoch of the owner's lease
 * @param endMillis end on the entry side's monotonic clock
 */
public record Permit(ClaimId claim, IdempotencyKey key, long epoch, long endMillis) {}
