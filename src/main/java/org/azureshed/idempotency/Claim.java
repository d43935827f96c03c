package org.azureshed.idempotency;

/**
 * Asks a key's owner for a permit.
 *
 * @param id identifies the claim
 * @param key the key
 * @param fingerprint content of the request
 * @param epochSeen epoch of the lease by which the entry side chose the owner; 0 if unknown
 * @param workMillis time that the request's class allows from start to answer
 */
public record Claim(
        ClaimId id,
        IdempotencyKey key,
        ContentFingerprint fingerprint,
        long epochSeen,
        long workMillis) {}
