package org.azureshed.admission;

import org.azureshed.model.TargetState;

/**
 * What the host side tells entry sides of a target, for the {@code Azureshed-Load} header.
 *
 * @param inFlight requests that hold a slot
 * @param slots announced slots
 * @param queued requests that wait for a slot
 * @param state state of the target; draining if its node is
 * @param medianServiceMicros median time that recent short work held a slot, in microseconds; 0
 *     without samples
 * @param errorShare share of failed requests among the samples, 0 to 1
 * @param samples number of recent requests that median and share are taken from
 */
public record LoadReport(
        int inFlight,
        int slots,
        int queued,
        TargetState state,
        long medianServiceMicros,
        double errorShare,
        int samples) {}
