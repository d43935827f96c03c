package org.azureshed.sidecar;

import org.azureshed.directory.Heartbeat;

/** Receives what the local target says about itself. */
public interface TargetIntake {
    /**
     * Handles a heartbeat.
     *
     * @param heartbeat the heartbeat
     * @param acknowledge runs when what the heartbeat says is in force
     */
    void heartbeat(Heartbeat heartbeat, Runnable acknowledge);

    /**
     * Handles the departure of a target.
     *
     * @param id identifier of the target
     * @param startMillis Unix time of its start in milliseconds, or 0 if unknown
     * @param acknowledge runs when no new request reaches the target
     */
    void departed(String id, long startMillis, Runnable acknowledge);
}
