package org.azureshed.ejection;

import org.azureshed.model.TargetId;

/** Something that the shell has to carry out for the ejection reducer. */
public sealed interface EjectionEffect {
    /**
     * Reads {@code ejection/<service>} and reports {@link EjectionEvent.RecordRead}.
     *
     * @param service the service
     */
    record ReadRecord(String service) implements EjectionEffect {}

    /**
     * Writes {@code ejection/<service>} if it still has a version.
     *
     * @param record the new content
     * @param expectedVersion the version that it must have; 0 if it must not exist
     */
    record WriteRecord(EjectionRecord record, long expectedVersion) implements EjectionEffect {}

    /**
     * Probes a hosted target and reports {@link EjectionEvent.ProbeFinished}. A probe costs the
     * target about 25 ms.
     *
     * @param service the service
     * @param target the target
     */
    record Probe(String service, TargetId target) implements EjectionEffect {}

    /**
     * The agreed record changed: routing has to follow it and gossip has to spread it.
     *
     * @param previous the record before
     * @param current the record in force
     * @param version its version
     */
    record RecordChanged(EjectionRecord previous, EjectionRecord current, long version)
            implements EjectionEffect {}
}
