package org.azureshed.poison;

import java.util.Map;
import java.util.Set;

/**
 * Suspects as the threads that handle requests see them. Immutable.
 *
 * @param crashes number of uncleared crashes by suspect
 * @param provisional requests that lost an attempt ({@link PoisonEvent.AttemptLost}) a short time
 *     ago; they count as suspect until a crash report can have arrived
 */
public record PoisonView(
        Map<RequestFingerprint, Integer> crashes, Set<RequestFingerprint> provisional) {
    /** A request is refused once it was in flight in this number of crashes. */
    public static final int REFUSED_CRASHES = 2;

    /** Copies the collections. */
    public PoisonView {
        crashes = Map.copyOf(crashes);
        provisional = Set.copyOf(provisional);
    }

    /**
     * A view without suspects.
     *
     * @return a view that refuses nothing
     */
    public static PoisonView empty() {
        return new PoisonView(Map.of(), Set.of());
    }

    /**
     * Whether a request is a suspect. A target processes at most one suspect at a time, and a
     * suspect is never retried automatically.
     *
     * @param fingerprint fingerprint of the request
     * @return true if it was in flight in a crash, or its connection broke a short time ago
     */
    public boolean suspect(RequestFingerprint fingerprint) {
        return crashes.containsKey(fingerprint) || provisional.contains(fingerprint);
    }

    /**
     * Whether a request is refused.
     *
     * @param fingerprint fingerprint of the request
     * @return true if it was in flight in two or more crashes
     */
    public boolean refused(RequestFingerprint fingerprint) {
        return crashes.getOrDefault(fingerprint, 0) >= REFUSED_CRASHES;
    }
}
