package org.azureshed.idempotency;

import static com.google.common.base.Preconditions.checkArgument;

import io.vavr.control.Either;
import java.util.UUID;
import org.azureshed.model.RefusalReason;

/**
 * Idempotency key that a caller chose for a request. It is unique within one organisation and
 * route.
 *
 * <pre>{@code
 * Either<RefusalReason, IdempotencyKey> key =
 *         IdempotencyKey.parse("ministry", "certificates", request.getHeader("Idempotency-Key"));
 * }</pre>
 *
 * @param organisation the caller's organisation
 * @param route id of the route
 * @param value UUID of version 7
 */
public record IdempotencyKey(String organisation, String route, UUID value) {
    private static final int VERSION = 7;
    private static final int RFC_VARIANT = 2;
    private static final int TIME_SHIFT_BITS = 16;

    /** Checks version and variant. */
    public IdempotencyKey {
        checkArgument(isVersionSeven(value), "key %s is not a UUID of version 7", value);
    }

    /**
     * Parses the text that the caller sent.
     *
     * @param organisation the caller's organisation
     * @param route id of the route
     * @param text the header's value
     * @return the key, or {@link RefusalReason#KEY_MALFORMED}
     */
    public static Either<RefusalReason, IdempotencyKey> parse(
            String organisation, String route, String text) {
        if (text == null) {
            return Either.left(RefusalReason.KEY_MALFORMED);
        }
        try {
            UUID value = UUID.fromString(text);
            // UUID.fromString also accepts groups of other lengths, which RFC 9562 does not.
            boolean wellFormed = value.toString().equalsIgnoreCase(text);
            return wellFormed && isVersionSeven(value)
                    ? Either.right(new IdempotencyKey(organisation, route, value))
                    : Either.left(RefusalReason.KEY_MALFORMED);
        } catch (IllegalArgumentException e) {
            return Either.left(RefusalReason.KEY_MALFORMED);
        }
    }

    /**
     * The time that the caller embedded in the key.
     *
     * @return milliseconds since the epoch on the caller's clock
     */
    public long timeMillis() {
        return value.getMostSignificantBits() >>> TIME_SHIFT_BITS;
    }

    private static boolean isVersionSeven(UUID value) {
        return value.version() == VERSION && value.variant() == RFC_VARIANT;
    }
}
