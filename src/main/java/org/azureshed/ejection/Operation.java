package org.azureshed.ejection;

/** The step of a change to the record of one service. At most one is under way on a node. */
sealed interface Operation {
    /** Nothing is under way. */
    record Idle() implements Operation {}

    /** A change is wanted and waits for its jitter to pass. */
    record Waiting(long dueMillis) implements Operation {}

    /** The record is being read. */
    record Reading(long sinceMillis) implements Operation {}

    /** A record decided on the version read is being written. */
    record Writing(EjectionRecord record, long sinceMillis) implements Operation {}
}
