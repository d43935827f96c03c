package org.azureshed.node;

import io.vavr.control.Either;
import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.azureshed.control.ActivePreset;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.model.Preset;
import org.azureshed.platform.Listing;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.preset.PresetChange;
import org.azureshed.preset.PresetChunks;
import org.azureshed.preset.PresetError;
import org.azureshed.preset.PresetIndex;
import org.azureshed.telemetry.EventLog;

/** Follows the preset index of the platform and reads the preset in force. */
@Singleton
final class PresetWatcher {
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);
    private static final long RETRY_MILLIS = 1_000;

    private final ObjectStore store;
    private final Provider<ControlLoop> control;
    private Map<String, byte[]> chunks = Map.of();
    private long appliedNumber;

    @Inject
    PresetWatcher(ObjectStore store, Provider<ControlLoop> control) {
        this.store = store;
        this.control = control;
    }

    /** Follows changes until the thread is interrupted. */
    void run() {
        long version = 0;
        boolean read = false;
        try {
            while (!Thread.currentThread().isInterrupted()) {
                Either<StoreError, Listing> result =
                        read
                                ? store.watch(PresetIndex.KEY.kind(), version, WATCH_TIMEOUT)
                                : store.list(PresetIndex.KEY.kind());
                read = result.isRight() && result.get().objects().stream().allMatch(this::apply);
                if (read) {
                    version = result.get().version();
                } else {
                    logFailure(result);
                    Thread.sleep(RETRY_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_MILLIS));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void logFailure(Either<StoreError, Listing> result) {
        if (result.isLeft()) {
            EventLog.warning("preset_watch_failed")
                    .with("error", result.getLeft().message())
                    .write();
        }
    }

    /** Applies a version of the index and tells whether it could be read. */
    private boolean apply(StoredObject object) {
        if (object.deleted() || !object.key().equals(PresetIndex.KEY)) {
            return true;
        }
        Either<PresetError, Boolean> applied =
                PresetIndex.decode(object.value()).flatMap(this::apply);
        applied.peekLeft(
                error -> EventLog.warning("preset_refused").with("error", error.message()).write());
        return applied.isRight();
    }

    private Either<PresetError, Boolean> apply(PresetIndex index) {
        Optional<PresetIndex.Entry> entry = index.entryInForce();
        if (entry.isEmpty() || index.activationNumber() <= appliedNumber) {
            return Either.right(false);
        }
        return load(entry.get().manifest())
                .map(
                        preset -> {
                            String reason = reason(index).orElse(entry.get().reason());
                            ActivePreset active =
                                    new ActivePreset(index.activationNumber(), preset, reason);
                            control.get().submit(new ControlEvent.PresetReceived(active));
                            appliedNumber = index.activationNumber();
                            return true;
                        });
    }

    private static Optional<String> reason(PresetIndex index) {
        return index.changes().reversed().stream()
                .filter(change -> change.activationNumber() == index.activationNumber())
                .map(PresetChange::reason)
                .findFirst();
    }

    private Either<PresetError, Preset> load(String manifestDigest) {
        Either<PresetError, byte[]> manifest = read(manifestDigest);
        Either<PresetError, List<String>> digests =
                manifest.flatMap(content -> PresetChunks.digests(manifestDigest, content));
        if (digests.isLeft()) {
            return Either.left(digests.getLeft());
        }
        Map<String, byte[]> needed = new HashMap<>();
        for (String digest : digests.get()) {
            Either<PresetError, byte[]> chunk =
                    chunks.containsKey(digest) ? Either.right(chunks.get(digest)) : read(digest);
            if (chunk.isLeft()) {
                return Either.left(chunk.getLeft());
            }
            needed.put(digest, chunk.get());
        }
        chunks = Map.copyOf(needed);
        return PresetChunks.assemble(manifestDigest, manifest.get(), chunks);
    }

    private Either<PresetError, byte[]> read(String digest) {
        return store.get(new ObjectKey(PresetChunks.KIND, digest))
                .map(StoredObject::value)
                .mapLeft(PresetError.Store::new);
    }
}
