package org.azureshed.poison;

import java.util.List;

/** An input of {@link PoisonReducer}. */
public sealed interface PoisonEvent {
    /**
     * A regular update of the time, which expires entries.
     *
     * @param nowMillis the node's monotonic clock in milliseconds
     */
    record Tick(long nowMillis) implements PoisonEvent {}

    /**
     * A target on this VM crashed.
     *
     * @param report the crash and the requests in flight
     */
    record TargetCrashed(CrashReport report) implements PoisonEvent {}

    /**
     * The response to a suspect request was received completely.
     *
     * @param fingerprint fingerprint of the request
     * @param status HTTP status that the target answered
     */
    record Completed(RequestFingerprint fingerprint, int status) implements PoisonEvent {}

    /**
     * The connection of a request broke at this entry side after the request was sent, or the host
     * side found that the target had crashed.
     *
     * @param fingerprint fingerprint of the request
     */
    record AttemptLost(RequestFingerprint fingerprint) implements PoisonEvent {}

    /**
     * Entries of other nodes were received by gossip.
     *
     * @param entries entries to merge; known ones have no effect
     */
    record SuspectsReceived(List<SuspectEntry> entries) implements PoisonEvent {
        /** Copies the list. */
        public SuspectsReceived {
            entries = List.copyOf(entries);
        }
    }
}
