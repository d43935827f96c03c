package org.azureshed.preset;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalLong;

/**
 * Who asks for a change, and why.
 *
 * @param operator name of the operator
 * @param reason the reason, at most {@link #MAX_REASON_LENGTH} characters
 * @param fleetNumber highest activation number known from the fleet; 0 if none
 * @param expected revision (put) or activation number (use) that the operator's decision is based
 *     on; the change is refused if it is no longer current
 */
public record ChangeRequest(
        String operator, String reason, long fleetNumber, OptionalLong expected) {
    /** Longest reason in characters; the index holds 200 of them. */
    public static final int MAX_REASON_LENGTH = 500;

    /** Checks the fields. */
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
     * A request without expectation and without knowledge of the fleet.
     *
     * @param operator name of the operator
     * @param reason the reason
     * @return the request
     */
    public static ChangeRequest of(String operator, String reason) {
        return new ChangeRequest(operator, reason, 0, OptionalLong.empty());
    }
}
