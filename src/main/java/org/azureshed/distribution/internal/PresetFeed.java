package org.azureshed.distribution.internal;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.azureshed.control.ActivePreset;
import org.azureshed.distribution.Announcement;
import org.azureshed.distribution.ContentDigest;
import org.azureshed.distribution.ContentError;
import org.azureshed.distribution.ContentStore;
import org.azureshed.distribution.DistributionEffect;
import org.azureshed.distribution.DistributionEvent;
import org.azureshed.platform.Listing;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.preset.PresetAssembler;
import org.azureshed.preset.PresetChunks;
import org.azureshed.preset.PresetIndex;
import org.azureshed.telemetry.EventLog;

/** Carries out the distribution effects that depend on the preset format. */
public final class PresetFeed {
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);
    private static final long RETRY_MILLIS = 1_000;

    private final ObjectStore store;
    private final ContentStore contents;
    private final Consumer<DistributionEvent> events;
    private final Consumer<ActivePreset> active;
    private final IndexWriteBack writeBack;

    /** Guards {@link #assembler}, which reuses parts of the last preset. */
    private final ReentrantLock assembleLock = new ReentrantLock();

    private final PresetAssembler assembler = new PresetAssembler();

    /** Used on the control thread only. */
    private Thread watcher;

    /**
     * Creates a feed without starting its watch.
     *
     * @param store the platform's store
     * @param contents contents that were fetched
     * @param events receives events for the reducer
     * @param active receives each preset that is put in force on this node
     */
    public PresetFeed(
            ObjectStore store,
            ContentStore contents,
            Consumer<DistributionEvent> events,
            Consumer<ActivePreset> active) {
        this.store = store;
        this.contents = contents;
        this.events = events;
        this.active = active;
        this.writeBack = new IndexWriteBack(store, contents);
    }

    /**
     * Reads the chunk digests from a manifest.
     *
     * @param digest digest of the manifest
     * @param content its bytes
     * @return the digests of its chunks, or {@link ContentError.BadManifest}
     */
    public static Either<ContentError, List<ContentDigest>> chunks(
            ContentDigest digest, byte[] content) {
        return PresetChunks.digests(digest.hex(), content)
                .map(digests -> digests.stream().map(ContentDigest::new).toList())
                .mapLeft(error -> new ContentError.BadManifest(digest, error.message()));
    }

    /**
     * Carries out an effect on the control thread. Does not block.
     *
     * @param effect the effect; those that {@link DistributionShell} handles are ignored
     */
    public void carryOut(DistributionEffect effect) {
        switch (effect) {
            case DistributionEffect.WatchIndex(boolean watch) -> watch(watch);
            case DistributionEffect.Activate activate -> activate(activate);
            case DistributionEffect.WriteBack back ->
                    Thread.ofVirtual().name("preset-write-back").start(() -> writeBack.run(back));
            default -> {
                // Carried out by DistributionShell.
            }
        }
    }

    private void watch(boolean watch) {
        if (watcher != null) {
            watcher.interrupt();
            watcher = null;
        }
        if (watch) {
            watcher = Thread.ofVirtual().name("preset-index").start(this::watchIndex);
        }
    }

    private void activate(DistributionEffect.Activate activate) {
        Map<String, byte[]> chunks = new HashMap<>();
        for (ContentDigest chunk : activate.chunks()) {
            contents.get(chunk).ifPresent(content -> chunks.put(chunk.hex(), content));
        }
        byte[] manifest = contents.get(activate.manifest()).orElse(new byte[0]);
        // A preset of 30,000 routes takes longer to parse than the control thread may block.
        Thread.ofVirtual()
                .name("preset-activation")
                .start(() -> assemble(activate, manifest, chunks));
    }

    private void assemble(
            DistributionEffect.Activate activate, byte[] manifest, Map<String, byte[]> chunks) {
        assembleLock.lock();
        try {
            assembler
                    .assemble(activate.manifest().hex(), manifest, chunks)
                    .peek(preset -> active.accept(new ActivePreset(activate.number(), preset)))
                    .peekLeft(
                            error ->
                                    EventLog.warning("preset_refused")
                                            .with("activation", activate.number())
                                            .with("error", error.message())
                                            .write());
        } finally {
            assembleLock.unlock();
        }
    }

    private void watchIndex() {
        long version = 0;
        boolean read = false;
        String kind = PresetIndex.KEY.kind();
        try {
            while (!Thread.currentThread().isInterrupted()) {
                Either<StoreError, Listing> result =
                        read ? store.watch(kind, version, WATCH_TIMEOUT) : store.list(kind);
                if (Thread.currentThread().isInterrupted()) {
                    return;
                }
                boolean listed = !read;
                read = result.isRight();
                if (read) {
                    version = result.get().version();
                    reportSafely(result.get(), listed);
                } else {
                    EventLog.warning("preset_watch_failed")
                            .with("error", result.getLeft().message())
                            .write();
                    Thread.sleep(RETRY_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_MILLIS));
                }
            }
        } catch (InterruptedException ignored) {
            // The watch was stopped, because this node is no longer a relay.
        }
    }

    /** An index that cannot be processed must not end the watch of the next ones. */
    private void reportSafely(Listing listing, boolean listed) {
        try {
            report(listing, listed);
        } catch (RuntimeException e) {
            EventLog.warning("preset_refused").with("error", e).write();
        }
    }

    private void report(Listing listing, boolean listed) {
        Optional<StoredObject> newest =
                listing.objects().stream()
                        .filter(object -> object.key().equals(PresetIndex.KEY))
                        .reduce((first, second) -> second);
        boolean unreadable = listing.mayHideUnreadable(PresetIndex.KEY.name());
        if (newest.isEmpty() && (!listed || unreadable)) {
            return;
        }
        if (newest.isEmpty() || newest.get().deleted()) {
            events.accept(
                    new DistributionEvent.IndexRead(Optional.empty(), ObjectStore.MUST_NOT_EXIST));
            return;
        }
        PresetIndex.decode(newest.get().value())
                .peek(
                        index -> {
                            events.accept(
                                    new DistributionEvent.IndexRead(
                                            announcement(index), newest.get().version()));
                        })
                .peekLeft(
                        error ->
                                EventLog.warning("preset_refused")
                                        .with("error", error.message())
                                        .write());
    }

    private static Optional<Announcement> announcement(PresetIndex index) {
        return index.entryInForce()
                .filter(entry -> index.activationNumber() > 0)
                .map(
                        entry ->
                                new Announcement(
                                        index.activationNumber(),
                                        new ContentDigest(entry.manifest()),
                                        false));
    }
}
