package org.azureshed.node;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.azureshed.platform.Listing;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.telemetry.EventLog;

/**
 * Reads all objects of a kind from the platform once; a relay also watches for changes. Other nodes
 * receive changes by gossip.
 */
final class KindWatcher {
    /** Shorter than the usual idle timeout of HTTP servers (30 s). */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

    private static final long RETRY_MILLIS = 1_000;

    private final String kind;
    private final ObjectStore store;
    private final RelayRole relay;
    private final Consumer<Listing> listed;
    private final Consumer<StoredObject> changed;

    /**
     * Creates a watcher.
     *
     * @param kind kind of the objects
     * @param store the platform
     * @param relay relay role of this node; only a relay watches for changes
     * @param listed called with each listing of all objects
     * @param changed called with each changed or deleted object
     */
    KindWatcher(
            String kind,
            ObjectStore store,
            RelayRole relay,
            Consumer<Listing> listed,
            Consumer<StoredObject> changed) {
        this.kind = kind;
        this.store = store;
        this.relay = relay;
        this.listed = listed;
        this.changed = changed;
    }

    /** Lists the objects and watches for changes until the thread is interrupted. */
    void run() {
        Optional<Long> version = Optional.empty();
        boolean listedOnce = false;
        try {
            while (!Thread.currentThread().isInterrupted()) {
                boolean waited = listedOnce && relay.await();
                version = waited || version.isEmpty() ? list() : watch(version.get());
                listedOnce |= version.isPresent();
                if (version.isEmpty()) {
                    Thread.sleep(RETRY_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_MILLIS));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Optional<Long> list() {
        return version(store.list(kind).peek(listing -> handle(() -> listed.accept(listing))));
    }

    private Optional<Long> watch(long since) {
        return version(
                store.watch(kind, since, WATCH_TIMEOUT)
                        .peek(
                                listing ->
                                        listing.objects()
                                                .forEach(
                                                        object ->
                                                                handle(
                                                                        () ->
                                                                                changed.accept(
                                                                                        object)))));
    }

    /** An object that cannot be processed must not end the watch of the others. */
    private void handle(Runnable handler) {
        try {
            handler.run();
        } catch (RuntimeException e) {
            EventLog.warning("object_handler_failed").with("kind", kind).with("error", e).write();
        }
    }

    private Optional<Long> version(Either<StoreError, Listing> result) {
        result.peekLeft(
                error ->
                        EventLog.warning("watch_failed")
                                .with("kind", kind)
                                .with("error", error.message())
                                .write());
        return result.map(Listing::version).toJavaOptional();
    }
}
