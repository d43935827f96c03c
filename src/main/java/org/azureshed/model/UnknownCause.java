package org.azureshed.model;

import java.util.Locale;
import java.util.Optional;

/** Why the outcome of a request is unknown. Each cause has its own counter. */
public enum UnknownCause {
    /** The connection to the target broke after the first byte of the request was written. */
    TARGET_CONNECTION_LOST,
    /** The connection to the target's node broke after the first byte was written. */
    NODE_CONNECTION_LOST,
    /** The target's node answered neither the request nor a probe. */
    NODE_SILENT,
    /** No answer started within the deadline. */
    ANSWER_TIMEOUT,
    /** The answer had the exchange id of another request and was discarded. */
    EXCHANGE_MISMATCH,
    /** The caller disconnected and the request was cancelled. */
    CALLER_GONE,
    /** The request body was cut off, or exceeded the limit, after its first part was sent. */
    REQUEST_ABORTED,
    /** The answer was malformed. */
    BAD_ANSWER;

    /**
     * Name of the cause in headers, response bodies, logs and metrics.
     *
     * @return the constant's name in lower case with hyphens
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
