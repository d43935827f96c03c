package org.azureshed.preset;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalLong;

/**
 * An operator's request to change a preset or the preset in force.
 *
 * @param operator name of the operator
 * @param reason why the operator makes the change, at most {@link #MAX_REASON_LENGTH} characters
 * @param fleetNumber highest activation number that the nodes report; 0 if none was reported
 * @param expected revision (put) or activation number (use) that the operator's decision is based
 *     on; the change is refused if it is no longer current
 */
public record ChangeRequest(
        String operator, String reason, long fleetNumber, OptionalLong expected) {
    /** Maximum length of a reason in characters. The index stores up to 200 reasons. */
    public static final int MAX_REASON_LENGTH = 500;

    /** Rejects blank texts, an overlong reason and a negative number. */
    public ChangeRequest {
        checkArgument(!operator.isBlank(), "the operator is empty; set --operator");
        checkArgument(!reason.isBlank(), "the reason is empty; set --reason");
        checkArgument(
                reason.length() <= MAX_REASON_LENGTH,
                "the reason has %s characters; shorten it to %s",
                reason.length(),
                MAX_REASON_LENGTH);
        checkArgument(fleetNumber >= 0, "the fleet's activation number must not be negative");
    }

    /**
     * Creates a request without an expected revision and without a number from the fleet.
     *
     * @param operator name of the operator
     * @param reason why the operator makes the change
     * @return a request that is not refused because of a newer revision
     */
    public static ChangeRequest of(String operator, String reason) {
        return new ChangeRequest(operator, reason, 0, OptionalLong.empty());
    }
}
