package org.azureshed.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalInt;

/**
 * A customer of the deployment, as the active configuration describes it.
 *
 * @param name name of the organisation; targets receive it with each of its requests
 * @param priority replaces the priority of the routes; empty to keep theirs
 * @param requestsPerSecond sustained rate that the whole fleet runs for it; 0 for no limit
 * @param burst requests that may run in addition to the rate; without effect if there is no limit
 */
public record Organisation(
        String name, OptionalInt priority, double requestsPerSecond, double burst) {
    /** Checks the arguments. */
    public Organisation {
        checkArgument(!name.isEmpty(), "an organisation has no name");
        checkArgument(
                requestsPerSecond >= 0 && Double.isFinite(requestsPerSecond),
                "organisation %s: the rate must be a number of 0 or more",
                name);
        checkArgument(
                burst >= 0 && Double.isFinite(burst),
                "organisation %s: the burst must be a number of 0 or more",
                name);
    }

    /**
     * Whether the fleet limits the requests of this organisation.
     *
     * @return true if there is a rate
     */
    public boolean limited() {
        return requestsPerSecond > 0;
    }
}
