package org.azureshed.node;

import io.vavr.control.Either;
import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.distribution.Announcement;
import org.azureshed.distribution.ContentDigest;
import org.azureshed.distribution.DistributionEvent;
import org.azureshed.platform.Listing;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.preset.PresetIndex;
import org.azureshed.telemetry.EventLog;

/** Follows the preset index of the platform while this node is a relay. */
@Singleton
final class IndexWatcher {
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);
    private static final long RETRY_MILLIS = 1_000;

    private final ObjectStore store;
    private final Provider<ControlLoop> control;
    private final RelayRole relay;

    @Inject
    IndexWatcher(ObjectStore store, Provider<ControlLoop> control, RelayRole relay) {
        this.store = store;
        this.control = control;
        this.relay = relay;
    }

    /** Follows changes until the thread is interrupted. */
    void run() {
        Optional<Long> version = Optional.empty();
        try {
            while (!Thread.currentThread().isInterrupted()) {
                if (relay.await()) {
                    version = Optional.empty();
                }
                Either<StoreError, Listing> result = read(version);
                result.peek(listing -> listing.objects().forEach(this::submit));
                version = result.map(Listing::version).toJavaOptional();
                if (result.isLeft()) {
                    EventLog.warning("index_watch_failed")
                            .with("error", result.getLeft().message())
                            .write();
                    Thread.sleep(RETRY_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_MILLIS));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Either<StoreError, Listing> read(Optional<Long> version) {
        String kind = PresetIndex.KEY.kind();
        return version.isEmpty()
                ? store.list(kind)
                : store.watch(kind, version.get(), WATCH_TIMEOUT);
    }

    private void submit(StoredObject object) {
        if (object.deleted() || !object.key().equals(PresetIndex.KEY)) {
            return;
        }
        PresetIndex.decode(object.value())
                .peek(index -> submit(index, object.version()))
                .peekLeft(
                        error ->
                                EventLog.warning("index_refused")
                                        .with("error", error.message())
                                        .write());
    }

    private void submit(PresetIndex index, long objectVersion) {
        Optional<Announcement> inForce =
                index.entryInForce()
                        .map(
                                entry ->
                                        new Announcement(
                                                index.activationNumber(),
                                                new ContentDigest(entry.manifest()),
                                                false));
        DistributionEvent event = new DistributionEvent.IndexRead(inForce, objectVersion);
        control.get().submit(new ControlEvent.Distribution(event));
    }
}
