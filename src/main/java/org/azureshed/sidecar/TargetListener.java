package org.azureshed.sidecar;

import org.azureshed.directory.Heartbeat;

/** Receives the local target's heartbeats and its departure. */
public interface TargetListener {
    /**
     * Handles a heartbeat.
     *
     * @param heartbeat state that the target reports
     * @param acknowledge run once the reported state has taken effect
     * @throws IllegalArgumentException if the heartbeat names a service that does not exist, so
     *     that it cannot be the local target's
     */
    void heartbeat(Heartbeat heartbeat, Runnable acknowledge);

    /**
     * Handles the departure of a target.
     *
     * @param id identifier of the target
     * @param startMillis Unix time of its start in milliseconds; 0 if unknown
     * @param acknowledge run once no new request reaches the target
     */
    void departed(String id, long startMillis, Runnable acknowledge);
}
