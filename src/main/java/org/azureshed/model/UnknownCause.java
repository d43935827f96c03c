package org.azureshed.model;

import java.util.Locale;

/** Why it is not known whether a request ran. Each cause has its own counter. */
public enum UnknownCause {
    /** The connection to the target broke after the first byte of the request was written. */
    TARGET_CONNECTION_LOST,
    /** The connection to the target's node broke after the first byte was written. */
    NODE_CONNECTION_LOST,
    /** No answer started within the deadline. */
    ANSWER_TIMEOUT,
    /** The answer carried the exchange id of another request and was dropped. */
    EXCHANGE_MISMATCH,
    /** The caller went away and the work was cancelled. */
    CALLER_GONE,
    /** The answer was malformed. */
    BAD_ANSWER;

    /**
     * The name in headers, bodies, logs and metrics.
     *
     * @return the lower-case name with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
