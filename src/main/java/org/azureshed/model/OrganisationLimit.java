package org.azureshed.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits of one organisation at each entry node.
 *
 * @param requestsPerSecond rate that is refilled each second, at least 1
 * @param concurrent requests in flight at the same time, at least 1
 */
public record OrganisationLimit(int requestsPerSecond, int concurrent) {
    /** Checks the fields. */
    public OrganisationLimit {
        checkArgument(requestsPerSecond > 0, "requestsPerSecond must be above 0");
        checkArgument(concurrent > 0, "concurrent must be above 0");
    }
}
