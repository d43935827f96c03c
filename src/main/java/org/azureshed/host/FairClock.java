package org.azureshed.host;

import java.util.HashMap;
import java.util.Map;

/**
 * Virtual time of start-time fair queueing between the organisations whose requests wait: the next
 * slot goes to the organisation with the earliest start. An organisation's start moves on by the
 * work that it has been given; one that begins to wait starts at the current virtual time, so that
 * it gains nothing from the time in which it did not wait. Not thread-safe.
 */
final class FairClock {
    private final Map<String, Double> nextStarts = new HashMap<>();
    private double virtualNanos;

    /**
     * Start of the first waiting request of an organisation.
     *
     * @param organisation name of the organisation
     * @return virtual time in nanoseconds
     */
    double startNanos(String organisation) {
        return Math.max(virtualNanos, nextStarts.getOrDefault(organisation, virtualNanos));
    }

    /**
     * Records that a request of an organisation got a slot.
     *
     * @param organisation name of the organisation
     * @param workNanos expected work of the request
     */
    void served(String organisation, double workNanos) {
        double startNanos = startNanos(organisation);
        virtualNanos = startNanos;
        nextStarts.put(organisation, startNanos + workNanos);
        // An organisation whose next start has passed is like one that has not been served.
        nextStarts.values().removeIf(next -> next <= virtualNanos);
    }
}
