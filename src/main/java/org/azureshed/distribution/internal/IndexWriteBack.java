package org.azureshed.distribution.internal;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.azureshed.distribution.ContentDigest;
import org.azureshed.distribution.ContentStore;
import org.azureshed.distribution.DistributionEffect;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.preset.PresetChange;
import org.azureshed.preset.PresetChunks;
import org.azureshed.preset.PresetIndex;
import org.azureshed.telemetry.EventLog;

/** Writes the fleet's preset to a platform that was restored from an older copy. */
final class IndexWriteBack {
    private static final String OPERATOR = "azureshed";
    private static final String REASON = "the platform showed an older activation than the fleet";

    private final ObjectStore store;
    private final ContentStore contents;

    IndexWriteBack(ObjectStore store, ContentStore contents) {
        this.store = store;
        this.contents = contents;
    }

    void run(DistributionEffect.WriteBack request) {
        String result = write(request);
        EventLog.warning("activation_written_back")
                .with("activation", request.number())
                .with("manifest", request.manifest())
                .with("result", result)
                .write();
    }

    private String write(DistributionEffect.WriteBack request) {
        Either<StoreError, StoredObject> read = store.get(PresetIndex.KEY);
        long version = read.map(StoredObject::version).getOrElse(ObjectStore.MUST_NOT_EXIST);
        boolean missing = read.isLeft() && read.getLeft() instanceof StoreError.NotFound;
        if (read.isLeft() && !missing) {
            return read.getLeft().message();
        }
        if (version != request.expectedVersion()) {
            return "the index was changed meanwhile";
        }
        var old =
                missing
                        ? Either.<String, PresetIndex>right(PresetIndex.empty())
                        : PresetIndex.decode(read.get().value()).mapLeft(error -> error.message());
        Either<String, PresetIndex> next =
                old.flatMap(index -> name(request).map(name -> next(index, request, name, read)));
        Optional<String> failure = next.isLeft() ? Optional.of(next.getLeft()) : upload(request);
        if (failure.isPresent()) {
            return failure.get();
        }
        return store.put(PresetIndex.KEY, next.get().encode(), version)
                .fold(StoreError::message, object -> "written");
    }

    private Either<String, String> name(DistributionEffect.WriteBack request) {
        Map<String, byte[]> chunks = new HashMap<>();
        request.chunks().forEach(c -> contents.get(c).ifPresent(b -> chunks.put(c.hex(), b)));
        byte[] manifest = contents.get(request.manifest()).orElse(new byte[0]);
        return PresetChunks.assemble(request.manifest().hex(), manifest, chunks)
                .map(preset -> preset.name())
                .mapLeft(error -> error.message());
    }

    /**
     * Writes the contents that the platform lacks. Contents never change, so a conflict means that
     * they are already stored.
     */
    private Optional<String> upload(DistributionEffect.WriteBack request) {
        List<ContentDigest> digests = new ArrayList<>(request.chunks());
        digests.add(request.manifest());
        for (ContentDigest digest : digests) {
            Optional<byte[]> content = contents.get(digest);
            if (content.isEmpty()) {
                return Optional.of("another preset came into force meanwhile");
            }
            ObjectKey key = new ObjectKey(PresetChunks.KIND, digest.hex());
            Either<StoreError, StoredObject> put =
                    store.put(key, content.get(), ObjectStore.MUST_NOT_EXIST);
            if (put.isLeft() && !(put.getLeft() instanceof StoreError.Conflict)) {
                return Optional.of(put.getLeft().message());
            }
        }
        return Optional.empty();
    }

    private static PresetIndex next(
            PresetIndex old,
            DistributionEffect.WriteBack request,
            String name,
            Either<StoreError, StoredObject> read) {
        long time = read.map(StoredObject::serverTimeMillis).getOrElse(0L);
        Map<String, PresetIndex.Entry> presets = new TreeMap<>(old.presets());
        PresetIndex.Entry known = presets.get(name);
        if (known == null || !known.manifest().equals(request.manifest().hex())) {
            long revision = known == null ? 1 : known.revision() + 1;
            presets.put(
                    name,
                    new PresetIndex.Entry(
                            request.manifest().hex(), revision, REASON, OPERATOR, time));
        }
        List<PresetChange> changes = new ArrayList<>(old.changes());
        long lastChange = old.lastChange();
        // A full list would have to be archived first, so the change is then only logged.
        if (changes.size() < PresetIndex.MAX_CHANGES) {
            lastChange++;
            changes.add(
                    new PresetChange(
                            lastChange,
                            PresetChange.writeBackId(request.number()),
                            PresetChange.Kind.USE,
                            name,
                            presets.get(name).revision(),
                            request.number(),
                            REASON,
                            OPERATOR,
                            time));
        }
        return new PresetIndex(request.number(), name, presets, lastChange, changes);
    }
}
