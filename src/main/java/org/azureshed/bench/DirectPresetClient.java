package org.azureshed.bench;

import io.vavr.control.Either;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.azureshed.platform.HttpObjectStore;
import org.azureshed.platform.Listing;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.preset.PresetAssembler;
import org.azureshed.preset.PresetChunks;
import org.azureshed.preset.PresetIndex;

/**
 * Baseline for the distribution of presets: a client that watches the index at the platform and,
 * after each change, reads the manifest and all chunks from the platform.
 */
final class DirectPresetClient implements AutoCloseable {
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

    private final HttpObjectStore store;
    private final BlockingQueue<AssembledPreset> assembled = new LinkedBlockingQueue<>();
    private final Thread thread;
    private volatile Throwable failure;

    private record AssembledPreset(long activationNumber, long assembledAtMillis) {}

    DirectPresetClient(URI platform) {
        store = new HttpObjectStore(platform);
        thread = Thread.ofVirtual().unstarted(this::watchIndex);
        thread.setUncaughtExceptionHandler((ignored, e) -> failure = e);
        thread.start();
    }

    /**
     * Waits until the preset of this activation, or of a later one, has been read and assembled.
     *
     * @return when this was, in milliseconds since the epoch
     * @throws TimeoutException if it takes longer than the timeout
     */
    long awaitActivation(long activationNumber, Duration timeout) throws Exception {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        AssembledPreset next;
        do {
            next = assembled.poll(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (next == null) {
                throw new TimeoutException(
                        "activation "
                                + activationNumber
                                + " not assembled in time; failure of the client: "
                                + failure);
            }
        } while (next.activationNumber() < activationNumber);
        return next.assembledAtMillis();
    }

    private void watchIndex() {
        String kind = PresetIndex.KEY.kind();
        Either<StoreError, Listing> result = store.list(kind);
        while (!Thread.currentThread().isInterrupted()) {
            Listing listing = result.get();
            listing.objects().stream()
                    .filter(indexObject -> indexObject.key().equals(PresetIndex.KEY))
                    .reduce((first, second) -> second)
                    .ifPresent(this::assemble);
            result = store.watch(kind, listing.version(), WATCH_TIMEOUT);
        }
    }

    private void assemble(StoredObject indexObject) {
        PresetIndex index = PresetIndex.decode(indexObject.value()).get();
        String digest = index.entryInForce().orElseThrow().manifest();
        byte[] manifest = read(digest);
        Map<String, byte[]> chunks = new HashMap<>();
        for (String chunk : PresetChunks.digests(digest, manifest).get()) {
            chunks.put(chunk, read(chunk));
        }
        new PresetAssembler().assemble(digest, manifest, chunks).get();
        assembled.add(new AssembledPreset(index.activationNumber(), System.currentTimeMillis()));
    }

    private byte[] read(String digest) {
        return store.get(new ObjectKey(PresetChunks.KIND, digest)).get().value();
    }

    @Override
    public void close() throws InterruptedException {
        thread.interrupt();
        store.close();
        thread.join();
    }
}
