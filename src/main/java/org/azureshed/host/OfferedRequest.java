package org.azureshed.host;

import org.azureshed.dispatch.OfferMode;
import org.azureshed.dispatch.RequestOrigin;

/**
 * A request that an entry side offers to the target beside this node. Times are on this node's
 * monotonic clock.
 *
 * @param id identifies the offer; unique at this node
 * @param targetId identifier of the target to which the entry side offers the request
 * @param mode whether the request may be queued, and whether a suspect target may take it
 * @param origin whether the request is a follow-up call
 * @param priority priority in the queue; 0 is served first
 * @param repeatable whether the request may run more than once
 * @param retry whether this is a retry: a target has already received the request
 * @param retryInduced whether the request may be a call made by a target while it ran a retry
 * @param route name of the request's route: requests of one route need similar work
 * @param organisation name of the caller's organisation; empty for calls of targets and where the
 *     configuration has no organisations
 * @param softDeadlineNanos soft deadline: the time by which the target latency is still met
 * @param deadlineNanos deadline by which the answer must have started
 */
public record OfferedRequest(
        long id,
        String targetId,
        OfferMode mode,
        RequestOrigin origin,
        int priority,
        boolean repeatable,
        boolean retry,
        boolean retryInduced,
        String route,
        String organisation,
        long softDeadlineNanos,
        long deadlineNanos) {}
