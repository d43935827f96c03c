package org.azureshed.proxy;

import jakarta.inject.Singleton;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Counts the requests that the node's listeners are handling. */
@Singleton
public final class ActiveRequests {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition idle = lock.newCondition();
    private int count;

    void begin() {
        lock.lock();
        try {
            count++;
        } finally {
            lock.unlock();
        }
    }

    void end() {
        lock.lock();
        try {
            count--;
            if (count == 0) {
                idle.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * The number of requests that are being handled.
     *
     * @return a count of both sides of the node
     */
    public int count() {
        lock.lock();
        try {
            return count;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until no request is being handled.
     *
     * @param timeoutMillis longest wait in milliseconds
     * @return true if no request is being handled
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitIdle(long timeoutMillis) throws InterruptedException {
        long left = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        lock.lock();
        try {
            while (count > 0 && left > 0) {
                left = idle.awaitNanos(left);
            }
            return count == 0;
        } finally {
            lock.unlock();
        }
    }
}
