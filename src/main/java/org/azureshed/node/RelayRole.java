package org.azureshed.node;

import jakarta.inject.Singleton;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Tracks whether this node is a relay, which watches the platform for its availability zone. */
@Singleton
final class RelayRole {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private boolean relay;

    void set(boolean newRelay) {
        lock.lock();
        try {
            relay = newRelay;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    boolean isRelay() {
        lock.lock();
        try {
            return relay;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until this node is a relay.
     *
     * @return true if it had to wait; object versions read before may then be out of date
     * @throws InterruptedException if the thread is interrupted
     */
    boolean await() throws InterruptedException {
        lock.lock();
        try {
            boolean waited = !relay;
            while (!relay) {
                changed.await();
            }
            return waited;
        } finally {
            lock.unlock();
        }
    }
}
