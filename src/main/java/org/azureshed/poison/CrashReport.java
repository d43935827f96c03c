package org.azureshed.poison;

import java.util.Set;
import org.azureshed.model.TargetId;

/**
 * The death of a target.
 *
 * @param crashId identifies the crash in the fleet; 48 bits
 * @param service the target's service
 * @param target the target
 * @param inFlight requests that were running at it
 */
public record CrashReport(
        long crashId, String service, TargetId target, Set<RequestFingerprint> inFlight) {
    /** Copies the set. */
    public CrashReport {
        inFlight = Set.copyOf(inFlight);
    }
}
