package org.azureshed.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Paths to other nodes that failed lately. A failed path is used last until its backoff ends; each
 * failure after that doubles the backoff. Not thread-safe.
 */
public final class PathBackoff {
    /** A restarted process is back in about two seconds, a single lost packet sooner. */
    private static final long BASE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int MAX_DOUBLINGS = 4;

    private final Map<String, Failure> failures = new HashMap<>();

    private record Failure(int count, long untilNanos) {}

    /**
     * Whether a path is to be avoided.
     *
     * @param node name of the node at its end
     * @param nowNanos current time
     * @return true during its backoff
     */
    public boolean avoided(String node, long nowNanos) {
        Failure failure = failures.get(node);
        return failure != null && nowNanos - failure.untilNanos() < 0;
    }

    /**
     * Records that a node did not respond.
     *
     * @param node its name
     * @param nowNanos current time
     */
    public void failed(String node, long nowNanos) {
        Failure known = failures.get(node);
        if (known != null && nowNanos - known.untilNanos() < 0) {
            return;
        }
        int count = known == null ? 0 : Math.min(known.count() + 1, MAX_DOUBLINGS);
        failures.put(node, new Failure(count, nowNanos + (BASE_NANOS << count)));
    }

    /**
     * Records that a node responded.
     *
     * @param node its name
     */
    public void responded(String node) {
        failures.remove(node);
    }
}
