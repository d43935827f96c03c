package org.azureshed.host;

import org.azureshed.dispatch.OfferMode;
import org.azureshed.dispatch.RequestOrigin;

/**
 * A request that a node offers to the target beside this one.
 *
 * @param id names the offer; unique at this node
 * @param targetId the target that the offering node means
 * @param mode what may be done with it
 * @param origin what it follows
 * @param priority rank; 0 is served first
 * @param repeatable whether it may run more than once
 * @param repeat whether a target has received it before
 * @param derived whether it may be a call of a run that was itself a repeat
 * @param usefulNanos until when its answer is worth most to the caller
 * @param limitNanos when its answer must be on the way
 */
public record Offered(
        long id,
        String targetId,
        OfferMode mode,
        RequestOrigin origin,
        int priority,
        boolean repeatable,
        boolean repeat,
        boolean derived,
        long usefulNanos,
        long limitNanos) {}
