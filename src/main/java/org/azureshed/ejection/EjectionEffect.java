package org.azureshed.ejection;

import org.azureshed.model.TargetId;

/** A side effect that {@link EjectionReducer} requests and its caller executes. */
public sealed interface EjectionEffect {
    /**
     * Reads {@code ejection/<service>} and reports {@link EjectionEvent.RecordRead}.
     *
     * @param service name of the service
     */
    record ReadRecord(String service) implements EjectionEffect {}

    /**
     * Writes {@code ejection/<service>} on the condition that its version has not changed.
     *
     * @param record the new content
     * @param expectedVersion the version that it must have; 0 if it must not exist
     */
    record WriteRecord(EjectionRecord record, long expectedVersion) implements EjectionEffect {}

    /**
     * Probes a hosted target and reports {@link EjectionEvent.ProbeFinished}. A probe costs the
     * target about 25 ms.
     *
     * @param service name of its service
     * @param target the target to probe
     */
    record Probe(String service, TargetId target) implements EjectionEffect {}

    /**
     * The agreed record changed: routing has to apply it and gossip has to send it on.
     *
     * @param previous the record before the change
     * @param current the record that applies from now on
     * @param version version of the current record
     */
    record RecordChanged(EjectionRecord previous, EjectionRecord current, long version)
            implements EjectionEffect {}
}
