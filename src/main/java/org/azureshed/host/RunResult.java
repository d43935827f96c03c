package org.azureshed.host;

/** How a run at the target ended, for judging the target. */
public enum RunResult {
    /** A whole answer without a server error. */
    SUCCESS,
    /** A server error, or no answer in a multiple of the usual time. */
    FAILURE,
    /** The connection ended without a whole answer, or the bytes were no answer. */
    BROKEN,
    /** Nothing can be said: cancelled, never sent, or its deadline passed. */
    NEUTRAL
}
