package org.azureshed.node;

import io.vavr.control.Either;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import org.azureshed.model.NodeInfo;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.telemetry.EventLog;

/**
 * Writes this node's record to the platform. A newer record replaces one that is not written yet. A
 * failed write is retried with exponential backoff and jitter.
 */
@Singleton
final class SelfPublisher {
    private static final long MIN_DELAY_MILLIS = 200;
    private static final long MAX_DELAY_MILLIS = 15_000;

    private final ObjectStore store;
    private final NodeInfoCodec codec = new NodeInfoCodec();
    private final AtomicReference<NodeInfo> pending = new AtomicReference<>();
    private volatile NodeInfo last;
    private volatile long knownVersion = ObjectStore.MUST_NOT_EXIST;

    @Inject
    SelfPublisher(ObjectStore store) {
        this.store = store;
    }

    void publish(NodeInfo self) {
        last = self;
        pending.set(self);
        synchronized (pending) {
            pending.notifyAll();
        }
    }

    /** Deletes this node's record. A failure is logged and not retried. */
    void withdraw() {
        NodeInfo self = last;
        if (self == null || knownVersion == ObjectStore.MUST_NOT_EXIST) {
            return;
        }
        store.delete(new ObjectKey(NodeWatcher.KIND, self.id().value()), knownVersion)
                .peekLeft(
                        error ->
                                EventLog.warning("withdraw_failed")
                                        .with("error", error.message())
                                        .write());
    }

    /** Writes records until the thread is interrupted. */
    void run() {
        long delay = MIN_DELAY_MILLIS;
        try {
            while (!Thread.currentThread().isInterrupted()) {
                NodeInfo self = awaitPending();
                Either<StoreError, StoredObject> result = write(self);
                if (result.isRight()) {
                    pending.compareAndSet(self, null);
                    delay = MIN_DELAY_MILLIS;
                } else {
                    EventLog.warning("publish_failed")
                            .with("error", result.getLeft().message())
                            .with("retry_ms", delay)
                            .write();
                    Thread.sleep(delay + ThreadLocalRandom.current().nextLong(delay));
                    delay = Math.min(2 * delay, MAX_DELAY_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private NodeInfo awaitPending() throws InterruptedException {
        synchronized (pending) {
            while (pending.get() == null) {
                pending.wait();
            }
            return pending.get();
        }
    }

    private Either<StoreError, StoredObject> write(NodeInfo self) {
        ObjectKey key = new ObjectKey(NodeWatcher.KIND, self.id().value());
        Either<StoreError, StoredObject> result = store.put(key, codec.encode(self), knownVersion);
        if (result.isRight()) {
            knownVersion = result.get().version();
        } else if (!(result.getLeft() instanceof StoreError.Unavailable)) {
            // Another incarnation wrote the object, or the answer to an earlier write was lost.
            store.get(key)
                    .peek(object -> knownVersion = object.version())
                    .peekLeft(error -> knownVersion = ObjectStore.MUST_NOT_EXIST);
        }
        return result;
    }
}
