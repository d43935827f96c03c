package org.azureshed.idempotency;

import java.util.Optional;

/**
 * An owner's record of one key that it granted.
 *
 * @param fingerprint content of the granted request
 * @param claim the granted claim
 * @param permitEndMillis owner's monotonic clock after which the work cannot start any more
 * @param unknownFromMillis owner's monotonic clock from which the outcome counts as unknown
 * @param answer stored answer; empty while no completion was reported
 */
public record KeyRecord(
        ContentFingerprint fingerprint,
        ClaimId claim,
        long permitEndMillis,
        long unknownFromMillis,
        Optional<StoredAnswer> answer) {
    boolean inProgress(long nowMillis) {
        return answer.isEmpty() && nowMillis < unknownFromMillis;
    }

    KeyRecord withAnswer(StoredAnswer newAnswer) {
        return new KeyRecord(
                fingerprint, claim, permitEndMillis, unknownFromMillis, Optional.of(newAnswer));
    }

    KeyRecord withUnknownFrom(long millis) {
        return new KeyRecord(fingerprint, claim, permitEndMillis, millis, answer);
    }

    long answerBytes() {
        return answer.map(StoredAnswer::bytes).orElse(0L);
    }
}
