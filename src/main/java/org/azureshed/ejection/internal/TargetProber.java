package org.azureshed.ejection.internal;

import org.azureshed.model.TargetId;

/** Sends a probe to a target of this VM. */
@FunctionalInterface
public interface TargetProber {
    /**
     * Probes a target. Blocks; it is called on a virtual thread.
     *
     * @param target the target
     * @return whether it answered well and in time
     */
    boolean probe(TargetId target);
}
