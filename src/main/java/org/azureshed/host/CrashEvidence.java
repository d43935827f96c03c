package org.azureshed.host;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.azureshed.poison.RequestFingerprint;

/**
 * Finds the requests that were running when the local target crashed. A broken connection alone
 * doesn't prove a crash; the crash is confirmed when the target then accepts no connection or has
 * restarted. Not thread-safe.
 */
public final class CrashEvidence {
    /** Within this time a crashed target has restarted or has been found unreachable. */
    private static final long CONFIRMATION_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Lost requests that are kept; more than a target runs at the same time. */
    private static final int MAX_LOST_REQUESTS = 64;

    private final Deque<LostRequest> lostRequests = new ArrayDeque<>();

    private record LostRequest(RequestFingerprint request, long atNanos) {}

    /**
     * Records that the connection to the target broke before the answer to a request.
     *
     * @param request fingerprint of the request
     * @param nowNanos current time
     */
    public void connectionBroke(RequestFingerprint request, long nowNanos) {
        lostRequests.addLast(new LostRequest(request, nowNanos));
        if (lostRequests.size() > MAX_LOST_REQUESTS) {
            lostRequests.removeFirst();
        }
    }

    /**
     * Records that the target is unreachable or was replaced by another start, which confirms a
     * crash.
     *
     * @param nowNanos current time
     * @return fingerprints of the requests that were lost shortly before; empty if there are none
     */
    public List<RequestFingerprint> targetCrashed(long nowNanos) {
        List<RequestFingerprint> running = new ArrayList<>();
        for (LostRequest lostRequest : lostRequests) {
            if (nowNanos - lostRequest.atNanos() < CONFIRMATION_NANOS) {
                running.add(lostRequest.request());
            }
        }
        lostRequests.clear();
        return running;
    }
}
