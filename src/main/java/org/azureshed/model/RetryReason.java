package org.azureshed.model;

import java.util.Locale;

/** Why the entry side sent a request to another target. Each reason has its own counter. */
public enum RetryReason {
    /** The previous attempt did not run. */
    NOT_RUN,
    /** The outcome of the previous attempt is unknown, and the request is idempotent. */
    IDEMPOTENT_UNKNOWN;

    /**
     * Name of the reason in logs and metrics.
     *
     * @return the constant's name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
