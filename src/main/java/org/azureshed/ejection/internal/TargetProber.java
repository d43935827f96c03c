package org.azureshed.ejection.internal;

import org.azureshed.model.TargetId;

/** Sends a probe to a target on this VM. */
@FunctionalInterface
public interface TargetProber {
    /**
     * Probes a target. Blocks; it is called on a virtual thread.
     *
     * @param target a target on this VM
     * @return whether it answered successfully and in time
     */
    boolean probe(TargetId target);
}
