package org.azureshed.proxy;

import java.util.Optional;
import org.azureshed.idempotency.PermitClock.StartBy;

/** Value of the {@code Azureshed-Start-By} header: boot id, colon, milliseconds. */
final class StartByHeader {
    private StartByHeader() {}

    static String encode(StartBy startBy) {
        return startBy.bootId() + ":" + startBy.hostMillis();
    }

    /**
     * Parses a header value.
     *
     * @param value the value
     * @return the start-by time, or empty if it is malformed
     */
    static Optional<StartBy> parse(String value) {
        int colon = value.indexOf(':');
        try {
            return colon < 0
                    ? Optional.empty()
                    : Optional.of(
                            new StartBy(
                                    value.substring(0, colon),
                                    Long.parseLong(value.substring(colon + 1))));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
