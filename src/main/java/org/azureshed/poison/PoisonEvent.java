package org.azureshed.poison;

import java.util.List;

/** Something that concerns requests that crash targets. */
public sealed interface PoisonEvent {
    /**
     * Time passed.
     *
     * @param nowMillis the node's monotonic clock in milliseconds
     */
    record Tick(long nowMillis) implements PoisonEvent {}

    /**
     * A target on this VM died.
     *
     * @param report the crash
     */
    record TargetCrashed(CrashReport report) implements PoisonEvent {}

    /**
     * A suspect's response ended completely.
     *
     * @param fingerprint the request
     * @param status the target's status
     */
    record Completed(RequestFingerprint fingerprint, int status) implements PoisonEvent {}

    /**
     * The connection of a request broke at this entry side after it was sent.
     *
     * @param fingerprint the request
     */
    record AttemptLost(RequestFingerprint fingerprint) implements PoisonEvent {}

    /**
     * Gossip brought suspects.
     *
     * @param entries the entries
     */
    record SuspectsHeard(List<SuspectEntry> entries) implements PoisonEvent {
        /** Copies the list. */
        public SuspectsHeard {
            entries = List.copyOf(entries);
        }
    }
}
