package org.azureshed.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Detects follow-up calls of the local target. While a target runs a request it may call other
 * services in sequence. These calls carry no id of the request that caused them and may use any
 * connection, but each is sent right after the answer to the previous one. A call that arrives
 * shortly after a successful answer on the same route therefore counts as a follow-up. Not
 * thread-safe.
 *
 * <pre>{@code
 * detector.answered("route", now);
 * detector.origin("route", now + 1); // FOLLOW_UP
 * }</pre>
 */
public final class FollowUpDetector {
    /**
     * Longest time from an answer to its follow-up. Targets send the next call within 10 ms; a busy
     * VM reads it later.
     */
    private static final long FOLLOW_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Answers kept per route; more than the calls that a target makes at the same time. */
    private static final int MAX_ANSWERS_PER_ROUTE = 64;

    private final Map<String, Deque<Long>> answerTimes = new HashMap<>();

    /**
     * Records a successful answer to a call of the local target.
     *
     * @param route name of the call's route
     * @param nowNanos current time
     */
    public void answered(String route, long nowNanos) {
        Deque<Long> times = answerTimes.computeIfAbsent(route, key -> new ArrayDeque<>());
        times.addLast(nowNanos);
        if (times.size() > MAX_ANSWERS_PER_ROUTE) {
            times.removeFirst();
        }
    }

    /**
     * Classifies a call that has just arrived from the local target.
     *
     * @param route name of the call's route
     * @param nowNanos current time
     * @return whether it is a follow-up; each answer is matched with at most one call
     */
    public RequestOrigin origin(String route, long nowNanos) {
        Deque<Long> times = answerTimes.get(route);
        while (times != null && !times.isEmpty()) {
            if (nowNanos - times.removeFirst() <= FOLLOW_UP_NANOS) {
                return RequestOrigin.FOLLOW_UP;
            }
        }
        return RequestOrigin.FIRST;
    }
}
