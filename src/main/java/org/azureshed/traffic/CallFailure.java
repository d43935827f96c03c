package org.azureshed.traffic;

/** Why a call got no complete response. */
public enum CallFailure {
    /** No connection was established. */
    NOT_CONNECTED,
    /** The connection ended before the response began. */
    CLOSED,
    /** The connection ended in the middle of the response. */
    TRUNCATED,
    /** The received bytes are not a valid HTTP response. */
    MALFORMED
}
