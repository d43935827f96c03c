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
 * Baseline for the distribution of presets: watches the index at the platform and reads the
 * manifest and all chunks from it after each change.
 */
final class PlainClient implements AutoCloseable {
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

    private final HttpObjectStore store;
    private final BlockingQueue<Applied> applied = new LinkedBlockingQueue<>();
    private final Thread thread;
    private volatile Throwable failure;

    private record Applied(long activation, long atMillis) {}

    PlainClient(URI platform) {
        store = new HttpObjectStore(platform);
        thread = Thread.ofVirtual().unstarted(this::follow);
        thread.setUncaughtExceptionHandler((ignored, e) -> failure = e);
        thread.start();
    }

    /**
     * Waits until an activation is assembled.
     *
     * @return when it was, in milliseconds since the epoch
     * @throws TimeoutException if it is not within the bound
     */
    long awaitActivation(long number, Duration bound) throws Exception {
        long end = System.nanoTime() + bound.toNanos();
        Applied next;
        do {
            next = applied.poll(end - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (next == null) {
                throw new TimeoutException("activation " + number + ", failure: " + failure);
            }
        } while (next.activation() < number);
        return next.atMillis();
    }

    private void follow() {
        String kind = PresetIndex.KEY.kind();
        Either<StoreError, Listing> result = store.list(kind);
        while (!Thread.currentThread().isInterrupted()) {
            Listing listing = result.get();
            listing.objects().stream()
                    .filter(object -> object.key().equals(PresetIndex.KEY))
                    .reduce((first, second) -> second)
                    .ifPresent(this::apply);
            result = store.watch(kind, listing.version(), WATCH_TIMEOUT);
        }
    }

    private void apply(StoredObject object) {
        PresetIndex index = PresetIndex.decode(object.value()).get();
        String digest = index.entryInForce().orElseThrow().manifest();
        byte[] manifest = read(digest);
        Map<String, byte[]> chunks = new HashMap<>();
        for (String chunk : PresetChunks.digests(digest, manifest).get()) {
            chunks.put(chunk, read(chunk));
        }
        new PresetAssembler().assemble(digest, manifest, chunks).get();
        applied.add(new Applied(index.activationNumber(), System.currentTimeMillis()));
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
