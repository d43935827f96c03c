package org.azureshed.host;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.azureshed.poison.RequestFingerprint;

/**
 * Tells which requests were running when the local target crashed. A broken connection alone is no
 * crash; it becomes one when the target then accepts no connection or starts again. Not
 * thread-safe.
 */
public final class CrashEvidence {
    /** A crashed target is back, or its silence noticed, within this time. */
    private static final long CONFIRMATION_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** More requests than a target runs at once. */
    private static final int MAX_LOST = 64;

    private final Deque<Lost> lost = new ArrayDeque<>();

    private record Lost(RequestFingerprint request, long atNanos) {}

    /**
     * Records that a request's connection broke before its answer.
     *
     * @param request the request
     * @param nowNanos current time
     */
    public void connectionBroke(RequestFingerprint request, long nowNanos) {
        lost.addLast(new Lost(request, nowNanos));
        if (lost.size() > MAX_LOST) {
            lost.removeFirst();
        }
    }

    /**
     * Records that the target is down, or another one has taken its place.
     *
     * @param nowNanos current time
     * @return the requests that it was running
     */
    public List<RequestFingerprint> targetCrashed(long nowNanos) {
        List<RequestFingerprint> running = new ArrayList<>();
        for (Lost one : lost) {
            if (nowNanos - one.atNanos() < CONFIRMATION_NANOS) {
                running.add(one.request());
            }
        }
        lost.clear();
        return running;
    }
}
