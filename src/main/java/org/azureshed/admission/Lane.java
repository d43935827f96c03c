package org.azureshed.admission;

/** Share of a target's slots that a request is counted against. */
public enum Lane {
    /** Requests with a short service time; may use all slots. */
    SHORT,
    /** Long-running requests; may use only part of the slots. */
    LONG
}
