package org.azureshed.idempotency;

/**
 * Request to the owner of a key for a permit to run the work of one request.
 *
 * @param id unique id of the claim
 * @param key idempotency key of the request
 * @param fingerprint hash of the request's content
 * @param epochSeen epoch of the lease by which the entry side chose the owner; 0 if unknown
 * @param workMillis longest time in milliseconds that the request's class allows from the start of
 *     the work to its answer
 */
public record Claim(
        ClaimId id,
        IdempotencyKey key,
        ContentFingerprint fingerprint,
        long epochSeen,
        long workMillis) {}
