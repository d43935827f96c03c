package org.azureshed.ejection;

import java.util.List;
import org.azureshed.model.TargetId;

/** Something that concerns the ejection of targets. */
public sealed interface EjectionEvent {
    /**
     * Time passed. Expected about once a second.
     *
     * @param nowMillis the node's monotonic clock in milliseconds
     * @param seed a new random number, which spreads the proposals of several nodes
     */
    record Tick(long nowMillis, long seed) implements EjectionEvent {}

    /**
     * The announced targets of a service.
     *
     * @param service the service
     * @param floorPercent share of the announced slots that must serve, 0 to 100
     * @param nodes number of nodes that may propose ejections
     * @param targets all announced targets in any state; empty if the service is gone
     */
    record ServiceSeen(String service, int floorPercent, int nodes, List<TargetView> targets)
            implements EjectionEvent {
        /** Copies the list. */
        public ServiceSeen {
            targets = List.copyOf(targets);
        }
    }

    /**
     * A response carried a digest.
     *
     * @param service the service
     * @param target the target that the host measured
     * @param digest what it measured
     */
    record DigestReceived(String service, TargetId target, TargetDigest digest)
            implements EjectionEvent {}

    /**
     * The record was read from the platform.
     *
     * @param record the record; empty if the object does not exist
     * @param version its version; 0 if it does not exist
     * @param platformMillis the platform's clock in milliseconds since the epoch
     */
    record RecordRead(EjectionRecord record, long version, long platformMillis)
            implements EjectionEvent {}

    /**
     * A version of the record was heard from a relay or by gossip.
     *
     * @param record the record
     * @param version its version
     */
    record RecordHeard(EjectionRecord record, long version) implements EjectionEvent {}

    /**
     * The conditional write took effect.
     *
     * @param record the record that was written
     * @param version the new version
     */
    record WriteSucceeded(EjectionRecord record, long version) implements EjectionEvent {}

    /**
     * Another proposer changed the record between read and write.
     *
     * @param service the service
     */
    record WriteConflicted(String service) implements EjectionEvent {}

    /**
     * The answer to a write was lost, so it may have taken effect.
     *
     * @param service the service
     */
    record AnswerLost(String service) implements EjectionEvent {}

    /**
     * A call to the platform failed without effect.
     *
     * @param service the service
     */
    record PlatformUnavailable(String service) implements EjectionEvent {}

    /**
     * A probe of a hosted target ended.
     *
     * @param service the service
     * @param target the target
     * @param good whether it answered in time
     */
    record ProbeFinished(String service, TargetId target, boolean good) implements EjectionEvent {}

    /**
     * A hosted target crashes again and again and no common request explains it.
     *
     * @param service the service
     * @param target the target
     * @param crashes number of unexplained crashes
     */
    record CrashLoopFound(String service, TargetId target, int crashes) implements EjectionEvent {}
}
