package org.azureshed.quota;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limit of an organisation in one version of the configuration.
 *
 * @param requestsPerSecond sustained rate over the whole fleet, above 0
 * @param burst requests that may run in addition to the rate, 0 or more
 * @param version version of the configuration
 */
public record QuotaLimit(double requestsPerSecond, double burst, long version) {
    /** Checks the arguments. */
    public QuotaLimit {
        checkArgument(
                requestsPerSecond > 0 && Double.isFinite(requestsPerSecond),
                "the rate must be a number above 0: %s",
                requestsPerSecond);
        checkArgument(
                burst >= 0 && Double.isFinite(burst),
                "the burst must be a number of 0 or more: %s",
                burst);
    }
}
