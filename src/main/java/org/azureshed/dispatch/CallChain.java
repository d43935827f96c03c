package org.azureshed.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Recognises the later calls of a run at the local target among the requests of one connection.
 * Calls carry no mark of their run, but a target that makes one call after the other sends the next
 * one right after an answer, on the same connection. Not thread-safe.
 *
 * <pre>{@code
 * chain.answered("route", now);
 * chain.origin("route", now + 1); // FOLLOW_UP
 * }</pre>
 */
public final class CallChain {
    /** Longest time from an answer to the run's next call; most follow within a few ms. */
    private static final long FOLLOW_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private String answeredRoute = "";
    private long answeredNanos;

    /**
     * Records that a request was answered with success.
     *
     * @param route name of its route
     * @param nowNanos current time
     */
    public void answered(String route, long nowNanos) {
        answeredRoute = route;
        answeredNanos = nowNanos;
    }

    /**
     * Judges a request that has just arrived on the connection.
     *
     * @param route name of its route
     * @param nowNanos current time
     * @return whether it follows the last answer
     */
    public RequestOrigin origin(String route, long nowNanos) {
        boolean follows = answeredRoute.equals(route) && nowNanos - answeredNanos <= FOLLOW_NANOS;
        return follows ? RequestOrigin.FOLLOW_UP : RequestOrigin.FIRST;
    }
}
