package org.azureshed.host;

/** Result of a run at the target, as far as it tells about the target's health. */
public enum RunResult {
    /** A complete answer without a server error. */
    SUCCESS,
    /** A server error, or no answer within a multiple of the usual run time. */
    FAILURE,
    /**
     * The connection ended before a complete answer, or the response was no valid answer of the
     * target.
     */
    BROKEN,
    /** Says nothing about the target: cancelled, never sent, or past its deadline. */
    NEUTRAL
}
