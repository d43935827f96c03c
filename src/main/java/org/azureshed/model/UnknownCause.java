package org.azureshed.model;

import java.util.Locale;
import java.util.Optional;

/** Why it is not known whether a request ran. Each cause has its own counter. */
public enum UnknownCause {
    /** The connection to the target broke after the first byte of the request was written. */
    TARGET_CONNECTION_LOST,
    /** The connection to the target's node broke after the first byte was written. */
    NODE_CONNECTION_LOST,
    /** The target's node answered neither the request nor a probe of it. */
    NODE_SILENT,
    /** No answer started within the deadline. */
    ANSWER_TIMEOUT,
    /** The answer carried the exchange id of another request and was dropped. */
    EXCHANGE_MISMATCH,
    /** The caller went away and the work was cancelled. */
    CALLER_GONE,
    /** The request body broke off, or went over the limit, after its first part was sent. */
    REQUEST_ABORTED,
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

    /**
     * Finds a cause by its label.
     *
     * @param label for example {@code answer-timeout}
     * @return the cause, or empty if no cause has that label
     */
    public static Optional<UnknownCause> parse(String label) {
        for (UnknownCause cause : values()) {
            if (cause.label().equals(label)) {
                return Optional.of(cause);
            }
        }
        return Optional.empty();
    }
}
