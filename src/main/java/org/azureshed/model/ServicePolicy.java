package org.azureshed.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Ejection, retry and slot limits of one service.
 *
 * @param name name of the service
 * @param floorPercent share of the announced slots that ejection must leave in service, 0 to 100
 * @param longLanePercent share of each target's slots that long-running requests may use, 1 to 100
 * @param retryPercent retry budget: retries allowed per 100 requests, 0 to 100
 */
public record ServicePolicy(String name, int floorPercent, int longLanePercent, int retryPercent) {
    private static final int MAX_PERCENT = 100;

    /** Checks the fields. */
    public ServicePolicy {
        checkArgument(!name.isBlank(), "a service has an empty name");
        checkArgument(
                floorPercent >= 0 && floorPercent <= MAX_PERCENT,
                "service %s: floorPercent must be 0 to 100",
                name);
        checkArgument(
                longLanePercent >= 1 && longLanePercent <= MAX_PERCENT,
                "service %s: longLanePercent must be 1 to 100",
                name);
        checkArgument(
                retryPercent >= 0 && retryPercent <= MAX_PERCENT,
                "service %s: retryPercent must be 0 to 100",
                name);
    }
}
