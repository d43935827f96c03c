package org.azureshed.admission;

/** How the request of a ticket ended. */
public enum TicketResult {
    /** The target answered without a server error. */
    SUCCEEDED,
    /** The target answered with a server error, broke the connection or timed out. */
    FAILED,
    /** The request did not reach the target, so the statistics ignore it. */
    NOT_RUN
}
