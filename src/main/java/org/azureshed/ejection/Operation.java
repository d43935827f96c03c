package org.azureshed.ejection;

/** Step of a change to the record of one service. A node runs one change per service at a time. */
sealed interface Operation {
    /** No change is in progress. */
    record Idle() implements Operation {}

    /** A change is needed and starts after a random delay. */
    record Waiting(long dueMillis) implements Operation {}

    /** The record is being read. */
    record Reading(long sinceMillis) implements Operation {}

    /** A record is being written on the condition that the version read has not changed. */
    record Writing(EjectionRecord record, long sinceMillis) implements Operation {}
}
