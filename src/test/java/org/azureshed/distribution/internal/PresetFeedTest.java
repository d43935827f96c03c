package org.azureshed.distribution.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.azureshed.control.ActivePreset;
import org.azureshed.distribution.ContentDigest;
import org.azureshed.distribution.ContentStore;
import org.azureshed.distribution.DistributionEffect;
import org.azureshed.distribution.DistributionEvent;
import org.azureshed.model.Preset;
import org.azureshed.platform.HttpObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.preset.ChangeRequest;
import org.azureshed.preset.PresetChunks;
import org.azureshed.preset.PresetIndex;
import org.azureshed.preset.PresetOperations;
import org.azureshed.standin.PlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the feed against the platform stand-in. */
class PresetFeedTest {
    private final PlatformStandIn platform = new PlatformStandIn(0);
    private final ContentStore contents = new ContentStore();
    private final BlockingQueue<DistributionEvent> events = new LinkedBlockingQueue<>();
    private final BlockingQueue<ActivePreset> active = new LinkedBlockingQueue<>();
    private HttpObjectStore store;
    private PresetFeed feed;

    @BeforeEach
    void start() {
        platform.start();
        store = new HttpObjectStore(platform.uri());
        feed = new PresetFeed(store, contents, events::add, active::add);
    }

    @AfterEach
    void stop() {
        feed.carryOut(new DistributionEffect.WatchIndex(false));
        store.close();
        platform.close();
    }

    /** Guards against a relay that misses the index, its version or the operator's reason. */
    @Test
    void watchReportsIndexAndActivationHasReason() throws Exception {
        feed.carryOut(new DistributionEffect.WatchIndex(true));
        assertEquals(new DistributionEvent.IndexRead(Optional.empty(), 0), nextEvent());
        use("ordinary", "first day");
        DistributionEvent.IndexRead read = (DistributionEvent.IndexRead) nextEvent();
        while (read.inForce().isEmpty()) {
            read = (DistributionEvent.IndexRead) nextEvent();
        }
        assertEquals(1, read.inForce().get().number());
        assertEquals(store.get(PresetIndex.KEY).get().version(), read.objectVersion());
        PresetChunks split = storeContents("ordinary");
        assertEquals(split.manifestDigest(), read.inForce().get().manifest().hex());
        var chunks = PresetFeed.chunks(read.inForce().get().manifest(), split.manifest()).get();
        feed.carryOut(new DistributionEffect.Activate(1, read.inForce().get().manifest(), chunks));
        ActivePreset preset = active.poll(10, TimeUnit.SECONDS);
        assertEquals(preset("ordinary"), preset.preset());
    }

    /** Guards against a write-back that omits the contents or replaces a newer index. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void writesBackOnlyOverTheVersionThatWasRead(boolean current) throws Exception {
        use("ordinary", "first day");
        long version = store.get(PresetIndex.KEY).get().version();
        PresetChunks split = storeContents("peak");
        ContentDigest manifest = new ContentDigest(split.manifestDigest());
        var chunks = PresetFeed.chunks(manifest, split.manifest()).get();
        new IndexWriteBack(store, contents)
                .run(
                        new DistributionEffect.WriteBack(
                                9, manifest, chunks, current ? version : version - 1));
        PresetIndex index = PresetIndex.decode(store.get(PresetIndex.KEY).get().value()).get();
        assertEquals(current ? 9 : 1, index.activationNumber());
        assertEquals(current ? "peak" : "ordinary", index.inForce());
        if (current) {
            assertEquals(preset("peak"), PresetOperations.of(store).show("peak").get().preset());
            assertTrue(index.change(index.lastChange()).isPresent());
        }
    }

    /** Guards against a platform that lost the index altogether. */
    @Test
    void writesBackToEmptyPlatform() {
        assertTrue(store.get(PresetIndex.KEY).getLeft() instanceof StoreError.NotFound);
        PresetChunks split = storeContents("peak");
        ContentDigest manifest = new ContentDigest(split.manifestDigest());
        var chunks = PresetFeed.chunks(manifest, split.manifest()).get();
        new IndexWriteBack(store, contents)
                .run(new DistributionEffect.WriteBack(4, manifest, chunks, 0));
        PresetIndex index = PresetIndex.decode(store.get(PresetIndex.KEY).get().value()).get();
        assertEquals(4, index.activationNumber());
    }

    private DistributionEvent nextEvent() throws InterruptedException {
        return events.poll(Duration.ofSeconds(10).toMillis(), TimeUnit.MILLISECONDS);
    }

    private PresetChunks storeContents(String name) {
        PresetChunks split = PresetChunks.split(preset(name)).get();
        contents.put(new ContentDigest(split.manifestDigest()), split.manifest());
        for (Map.Entry<String, byte[]> chunk : split.chunks().entrySet()) {
            contents.put(new ContentDigest(chunk.getKey()), chunk.getValue());
        }
        return split;
    }

    private void use(String name, String reason) {
        PresetOperations operations = PresetOperations.of(store);
        ChangeRequest request = new ChangeRequest("maria", reason, 0, OptionalLong.empty());
        operations.put(preset(name), request).get();
        operations.use(name, request).get();
    }

    private static Preset preset(String name) {
        return Preset.builder(name).purpose("days").useWhen("always").watch("nothing").build();
    }
}
