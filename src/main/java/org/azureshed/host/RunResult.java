package org.azureshed.host;

/** Result of a run at the target, as far as it tells about the target's health. */
public enum RunResult {
    /** A complete answer without a server error. */
    SUCCESS,
    /**
     * A server error other than 504, an answer that the request was not executed, no connection to
     * the target, or no response within a multiple of the usual run time.
     */
    FAILURE,
    /**
     * The connection ended before a complete answer, or the response was no valid answer of the
     * target.
     */
    BROKEN,
    /**
     * Says nothing about the target: the host side never tried to send the request, or it was
     * cancelled, past its deadline (also status 504) or meant for another target (status 421).
     */
    NEUTRAL
}
