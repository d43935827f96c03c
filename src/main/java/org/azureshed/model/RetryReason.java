package org.azureshed.model;

import java.util.Locale;

/** Why the entry side sent a request to another target. Each reason has its own counter. */
public enum RetryReason {
    /** The first attempt was refused as not run. */
    NOT_RUN,
    /** The outcome is unknown and the request is idempotent. */
    IDEMPOTENT_UNKNOWN;

    /**
     * The name in logs and metrics.
     *
     * @return the lower-case name with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
