package org.azureshed.poison;

import java.util.Set;
import org.azureshed.model.TargetId;

/**
 * The crash of a target.
 *
 * @param crashId id of the crash, unique in the fleet; 48 bits
 * @param service name of the target's service
 * @param target the target that crashed
 * @param inFlight requests that the target was processing
 */
public record CrashReport(
        long crashId, String service, TargetId target, Set<RequestFingerprint> inFlight) {
    /** Copies the set. */
    public CrashReport {
        inFlight = Set.copyOf(inFlight);
    }
}
