package org.azureshed.idempotency;

/**
 * Right to start the work of one key for a limited time, as held by an entry side.
 *
 * @param claim the claim that was granted
 * @param key the key
 * @param epoch epoch of the owner's lease
 * @param endMillis end on the entry side's monotonic clock
 */
public record Permit(ClaimId claim, IdempotencyKey key, long epoch, long endMillis) {}
