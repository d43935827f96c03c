package org.azureshed.host;

import java.util.concurrent.TimeUnit;

/**
 * Tells whether the target beside this node may be running a request, so that a request from its
 * address may be a call of its own. Not thread-safe.
 */
public final class TargetActivity {
    /**
     * How long a target may go on with a request that this node no longer counts as running: one
     * that an earlier process sent, or that outlives its connection. Longer than the deadlines of
     * callers.
     */
    private static final long UNSEEN_RUN_NANOS = TimeUnit.SECONDS.toNanos(30);

    private long lastActiveNanos;

    /**
     * Creates a record. An earlier process may have sent requests to the target just before.
     *
     * @param startNanos start of this process
     */
    public TargetActivity(long startNanos) {
        lastActiveNanos = startNanos;
    }

    /**
     * Records that the target holds a request of this node.
     *
     * @param nowNanos current time
     */
    public void active(long nowNanos) {
        lastActiveNanos = nowNanos;
    }

    /**
     * Whether the target may be running a request.
     *
     * @param running requests that this node counts as running
     * @param nowNanos current time
     * @return false only if the target cannot be making calls
     */
    public boolean mayBeRunning(int running, long nowNanos) {
        return running > 0 || nowNanos - lastActiveNanos < UNSEEN_RUN_NANOS;
    }
}
