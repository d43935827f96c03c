package org.azureshed.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Exponential backoff for network paths to other nodes that failed recently. A failed path is
 * ordered after all others until its backoff ends; the next failure after that doubles the backoff.
 * Not thread-safe.
 */
public final class PathBackoff {
    /**
     * First backoff. A restarted process is reachable again after about two seconds; a single lost
     * packet needs less.
     */
    private static final long BASE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int MAX_DOUBLINGS = 4;

    private final Map<String, Failure> failures = new HashMap<>();

    private record Failure(int count, long untilNanos) {}

    /**
     * Whether the path to a node is in its backoff.
     *
     * @param node name of the node
     * @param nowNanos current time
     * @return true if other paths are to be tried first
     */
    public boolean inBackoff(String node, long nowNanos) {
        Failure failure = failures.get(node);
        return failure != null && nowNanos - failure.untilNanos() < 0;
    }

    /**
     * Records that a node did not respond. Failures during a backoff don't extend it.
     *
     * @param node name of the node
     * @param nowNanos current time
     */
    public void failed(String node, long nowNanos) {
        Failure previous = failures.get(node);
        if (previous != null && nowNanos - previous.untilNanos() < 0) {
            return;
        }
        int count = previous == null ? 0 : Math.min(previous.count() + 1, MAX_DOUBLINGS);
        failures.put(node, new Failure(count, nowNanos + (BASE_NANOS << count)));
    }

    /**
     * Records that a node responded, which ends its backoff.
     *
     * @param node name of the node
     */
    public void responded(String node) {
        failures.remove(node);
    }
}
