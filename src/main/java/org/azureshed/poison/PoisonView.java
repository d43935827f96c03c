package org.azureshed.poison;

import java.util.Map;
import java.util.Set;

/**
 * What traffic threads need to know of suspects. Immutable.
 *
 * @param crashes number of uncleared crashes by suspect
 * @param held requests whose connection broke at this node a moment ago
 */
public record PoisonView(Map<RequestFingerprint, Integer> crashes, Set<RequestFingerprint> held) {
    /** A request is refused from this number of crashes. */
    public static final int REFUSED_CRASHES = 2;

    /** Copies the collections. */
    public PoisonView {
        crashes = Map.copyOf(crashes);
        held = Set.copyOf(held);
    }

    /**
     * A view without suspects.
     *
     * @return the view
     */
    public static PoisonView empty() {
        return new PoisonView(Map.of(), Set.of());
    }

    /**
     * Whether a request has to run without another suspect at its target. It is never retried
     * automatically.
     *
     * @param fingerprint the request
     * @return true if it was in flight in a crash, or its connection broke a moment ago
     */
    public boolean suspect(RequestFingerprint fingerprint) {
        return crashes.containsKey(fingerprint) || held.contains(fingerprint);
    }

    /**
     * Whether a request is refused.
     *
     * @param fingerprint the request
     * @return true if it was in flight in two crashes or more
     */
    public boolean refused(RequestFingerprint fingerprint) {
        return crashes.getOrDefault(fingerprint, 0) >= REFUSED_CRASHES;
    }
}
