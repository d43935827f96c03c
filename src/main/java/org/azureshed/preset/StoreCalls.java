package org.azureshed.preset;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Supplier;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;

/** Retries idempotent store calls: reads, and writes of objects whose content never changes. */
final class StoreCalls {
    private static final long FIRST_DELAY_MILLIS = 50;
    private static final long MAX_DELAY_MILLIS = 1_000;

    /** Keeps a command's write rate far below the platform's limit of several hundred writes/s. */
    private static final int PARALLEL_CALLS = 8;

    private final ObjectStore store;
    private final Duration retryTimeout;
    private volatile long lastSuccessNanos = System.nanoTime();

    /**
     * Creates a caller of the store.
     *
     * @param store the platform's store
     * @param retryTimeout time without any successful call after which a failing call is no longer
     *     retried; while a rate limit admits some of many parallel calls, the others must not fail
     */
    StoreCalls(ObjectStore store, Duration retryTimeout) {
        this.store = store;
        this.retryTimeout = retryTimeout;
    }

    Either<StoreError, StoredObject> read(ObjectKey key) {
        Backoff backoff = new Backoff(true);
        while (true) {
            Either<StoreError, StoredObject> result = store.get(key);
            recordSuccess(result.isRight());
            if (result.isRight() || !isTransient(result.getLeft()) || !backoff.sleep()) {
                return result;
            }
        }
    }

    /**
     * Writes an immutable object; an existing object counts as success, since its content is equal.
     */
    Either<StoreError, ObjectKey> writeOnce(ObjectKey key, byte[] content) {
        Backoff backoff = new Backoff(true);
        while (true) {
            Either<StoreError, StoredObject> result =
                    store.put(key, content, ObjectStore.MUST_NOT_EXIST);
            if (result.isRight() || result.getLeft() instanceof StoreError.Conflict) {
                recordSuccess(true);
                return Either.right(key);
            }
            if (!isTransient(result.getLeft()) || !backoff.sleep()) {
                return Either.left(result.getLeft());
            }
        }
    }

    /** Runs calls in parallel and returns their results in the order of the calls. */
    <T> Either<StoreError, List<T>> all(List<Supplier<Either<StoreError, T>>> calls) {
        try (ExecutorService executor =
                Executors.newFixedThreadPool(PARALLEL_CALLS, Thread.ofVirtual().factory())) {
            List<Callable<Either<StoreError, T>>> tasks = new ArrayList<>();
            calls.forEach(call -> tasks.add(call::get));
            List<T> results = new ArrayList<>();
            for (Future<Either<StoreError, T>> future : executor.invokeAll(tasks)) {
                Either<StoreError, T> result = future.get();
                if (result.isLeft()) {
                    return Either.left(result.getLeft());
                }
                results.add(result.get());
            }
            return Either.right(results);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(new StoreError.Unavailable("interrupted"));
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    static boolean isTransient(StoreError error) {
        return error instanceof StoreError.Unavailable
                || error instanceof StoreError.RateLimited
                || error instanceof StoreError.OutcomeUnknown;
    }

    /** Returns a backoff that ends after the retry timeout even if other calls succeed. */
    Backoff fixedBackoff() {
        return new Backoff(false);
    }

    private void recordSuccess(boolean success) {
        if (success) {
            lastSuccessNanos = System.nanoTime();
        }
    }

    /** Doubles the delay between attempts until the retry timeout has passed. */
    final class Backoff {
        private final long startNanos = System.nanoTime();
        private final boolean extended;
        private long delayMillis = FIRST_DELAY_MILLIS;

        private Backoff(boolean extendedBySuccess) {
            extended = extendedBySuccess;
        }

        /** Waits before the next attempt; returns false if no time is left for it. */
        boolean sleep() {
            long since = extended ? Math.max(startNanos, lastSuccessNanos) : startNanos;
            long remainingMillis = retryTimeout.minusNanos(System.nanoTime() - since).toMillis();
            if (remainingMillis <= 0) {
                return false;
            }
            try {
                Thread.sleep(Math.min(delayMillis, remainingMillis));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
            delayMillis = Math.min(2 * delayMillis, MAX_DELAY_MILLIS);
            return true;
        }
    }
}
