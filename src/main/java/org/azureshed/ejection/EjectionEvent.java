package org.azureshed.ejection;

import java.util.List;
import org.azureshed.model.TargetId;

/** An input of {@link EjectionReducer}. */
public sealed interface EjectionEvent {
    /**
     * A regular update of the time, about once a second.
     *
     * @param nowMillis the node's monotonic clock in milliseconds
     * @param seed a new random number for the jitter between the proposals of several nodes
     */
    record Tick(long nowMillis, long seed) implements EjectionEvent {}

    /**
     * The announced targets of a service changed or are reported again.
     *
     * @param service name of the service
     * @param floorPercent percentage of the announced slots that must keep serving, 0 to 100
     * @param nodes number of nodes that may propose ejections
     * @param targets all announced targets in any state; empty if the service no longer exists
     */
    record ServiceUpdated(String service, int floorPercent, int nodes, List<TargetView> targets)
            implements EjectionEvent {
        /** Copies the list. */
        public ServiceUpdated {
            targets = List.copyOf(targets);
        }
    }

    /**
     * A response carried a digest.
     *
     * @param service name of the service
     * @param target the target that the digest describes
     * @param digest the host's measurements
     */
    record DigestReceived(String service, TargetId target, TargetDigest digest)
            implements EjectionEvent {}

    /**
     * The record was read from the platform.
     *
     * @param record the stored record; without targets if the object does not exist
     * @param version version of the object; 0 if it does not exist
     * @param platformMillis the platform's clock in milliseconds since the epoch; this node's if
     *     the object does not exist
     */
    record RecordRead(EjectionRecord record, long version, long platformMillis)
            implements EjectionEvent {}

    /**
     * A version of the record was received by gossip or from this node's watch of the platform.
     *
     * @param record the received record
     * @param version version of the received record
     */
    record RecordReceived(EjectionRecord record, long version) implements EjectionEvent {}

    /**
     * The conditional write succeeded.
     *
     * @param record the record that was written
     * @param version version of the object after the write
     */
    record WriteSucceeded(EjectionRecord record, long version) implements EjectionEvent {}

    /**
     * The conditional write failed because another node changed the record after it was read.
     *
     * @param service name of the service
     */
    record WriteConflicted(String service) implements EjectionEvent {}

    /**
     * The answer to a write was lost, so it is unknown whether the write took effect.
     *
     * @param service name of the service
     */
    record AnswerLost(String service) implements EjectionEvent {}

    /**
     * A call to the platform failed without effect.
     *
     * @param service service whose record was to be read or written
     */
    record PlatformUnavailable(String service) implements EjectionEvent {}

    /**
     * A probe of a hosted target ended.
     *
     * @param service name of its service
     * @param target the target that was probed
     * @param good whether it answered successfully and in time
     */
    record ProbeFinished(String service, TargetId target, boolean good) implements EjectionEvent {}

    /**
     * A hosted target crashed repeatedly and no request common to several crashes explains it.
     *
     * @param service name of its service
     * @param target the crashing target
     * @param crashes number of unexplained crashes
     */
    record CrashLoopFound(String service, TargetId target, int crashes) implements EjectionEvent {}
}
