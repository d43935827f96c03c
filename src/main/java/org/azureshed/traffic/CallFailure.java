package org.azureshed.traffic;

/** Why a call got no whole response. */
public enum CallFailure {
    /** No connection was established. */
    NOT_CONNECTED,
    /** The connection ended before the response began. */
    CLOSED,
    /** The connection ended in the middle of the response. */
    TRUNCATED,
    /** The bytes received are not a response. */
    MALFORMED
}
