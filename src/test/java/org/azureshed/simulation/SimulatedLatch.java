package org.azureshed.simulation;

import java.util.concurrent.TimeUnit;

/**
 * Stands in for {@link java.util.concurrent.CountDownLatch} in the classes of a node. The only wait
 * of a node's own threads is the one of its stop, after which the process exits. The simulation has
 * one thread: the wait returns at once, and the process ends when it would have ended.
 */
public final class SimulatedLatch {
    private long count;
    private Runnable onRelease = () -> {};

    /** Creates a latch that is released after a number of calls of {@link #countDown}. */
    public SimulatedLatch(int count) {
        this.count = count;
    }

    /** Counts down and releases the latch at zero. */
    public void countDown() {
        count--;
        if (count == 0) {
            onRelease.run();
        }
    }

    /** Ends the current process when the latch is released, or after the timeout. */
    public boolean await(long timeout, TimeUnit unit) {
        SimulatedProcess.current().exitAfter(this, unit.toMillis(timeout));
        return false;
    }

    void onRelease(Runnable action) {
        onRelease = action;
        if (count <= 0) {
            action.run();
        }
    }
}
