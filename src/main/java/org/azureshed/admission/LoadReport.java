package org.azureshed.admission;

import org.azureshed.model.TargetState;

/**
 * Load of a target as the host side reports it to entry sides in the {@code Azureshed-Load} header.
 *
 * @param inFlight requests that hold a slot
 * @param longInFlight those of them that count against the long lane
 * @param slots announced slots
 * @param queued requests that wait for a slot
 * @param state state of the target; draining if its node is draining
 * @param medianServiceMicros median time that recent short requests held a slot, in microseconds; 0
 *     without samples
 * @param errorShare share of failed requests among the samples, 0 to 1
 * @param samples number of recent requests that the error share is computed from
 */
public record LoadReport(
        int inFlight,
        int longInFlight,
        int slots,
        int queued,
        TargetState state,
        long medianServiceMicros,
        double errorShare,
        int samples) {}
