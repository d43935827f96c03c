package org.azureshed.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits of one organisation at each entry node.
 *
 * @param requestsPerSecond sustained request rate and largest burst, at least 1
 * @param concurrent maximum number of requests in flight, at least 1
 */
public record OrganisationLimit(int requestsPerSecond, int concurrent) {
    /** Checks the fields. */
    public OrganisationLimit {
        checkArgument(requestsPerSecond > 0, "requestsPerSecond must be above 0");
        checkArgument(concurrent > 0, "concurrent must be above 0");
    }
}
