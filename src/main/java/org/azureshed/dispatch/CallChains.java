package org.azureshed.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Recognises the later calls of runs at the local target. Calls carry no mark of their run, and
 * come on any connection, but a target that makes one call after the other sends the next one right
 * after an answer. Not thread-safe.
 *
 * <pre>{@code
 * chains.answered("route", now);
 * chains.origin("route", now + 1); // FOLLOW_UP
 * }</pre>
 */
public final class CallChains {
    /** Targets send the next call within 10 ms; a busy VM reads it somewhat later. */
    private static final long FOLLOW_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Answers of the last moments; a target makes fewer calls at a time. */
    private static final int MAX_ANSWERS = 64;

    private final Map<String, Deque<Long>> answers = new HashMap<>();

    /**
     * Records that a request of this VM was answered with success.
     *
     * @param route name of its route
     * @param nowNanos current time
     */
    public void answered(String route, long nowNanos) {
        Deque<Long> times = answers.computeIfAbsent(route, key -> new ArrayDeque<>());
        times.addLast(nowNanos);
        if (times.size() > MAX_ANSWERS) {
            times.removeFirst();
        }
    }

    /**
     * Judges a request that has just arrived from this VM.
     *
     * @param route name of its route
     * @param nowNanos current time
     * @return whether it follows an answer; each answer is followed once
     */
    public RequestOrigin origin(String route, long nowNanos) {
        Deque<Long> times = answers.get(route);
        while (times != null && !times.isEmpty()) {
            if (nowNanos - times.removeFirst() <= FOLLOW_NANOS) {
                return RequestOrigin.FOLLOW_UP;
            }
        }
        return RequestOrigin.FIRST;
    }
}
