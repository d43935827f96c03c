package org.azureshed.preset;

import io.vavr.control.Either;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Function;
import java.util.function.Supplier;
import org.azureshed.model.Preset;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.preset.IndexCommit.IndexVersion;

/**
 * The operations that operators perform on presets: store, activate, list, show and history.
 *
 * <pre>{@code
 * PresetOperations operations = PresetOperations.of(store);
 * operations.put(preset, ChangeRequest.of("maria", "more slots for exports"));
 * operations.use("peak", ChangeRequest.of("maria", "the festival opens at noon"));
 * }</pre>
 *
 * <p>A change takes effect with a single conditional write of {@link PresetIndex}. If the response
 * is lost, the index is read to see whether the write took effect. If that is still unknown, the
 * write is retried with the same expected version, so at most one of the attempts takes effect.
 */
public final class PresetOperations {
    /** Each node writes an activation back at most once, and rarely more than one does so. */
    private static final int MAX_COMMIT_ATTEMPTS = 4;

    /** Object kind of archived changes, which are older than those in the index. */
    public static final String CHANGE_KIND = "change";

    private static final Duration RETRY_TIMEOUT = Duration.ofSeconds(10);

    private final StoreCalls calls;
    private final IndexCommit indexCommit;
    private final Clock clock;
    private final Supplier<String> operationIds;

    /**
     * A preset with its entry in the index.
     *
     * @param entry its revision, operator and reason
     * @param preset the content
     */
    public record StoredPreset(PresetIndex.Entry entry, Preset preset) {}

    /**
     * Creates operations.
     *
     * @param store the platform's store
     * @param clock gives the time of the first change; later changes use the platform's time
     * @param operationIds generates unique operation ids
     * @param retryTimeout how long failing calls are retried while no call succeeds
     */
    public PresetOperations(
            ObjectStore store, Clock clock, Supplier<String> operationIds, Duration retryTimeout) {
        this.calls = new StoreCalls(store, retryTimeout);
        this.indexCommit = new IndexCommit(store, calls);
        this.clock = clock;
        this.operationIds = operationIds;
    }

    /**
     * Creates operations that retry failing calls for 10 s.
     *
     * @param store the platform's store
     * @return the operations
     */
    public static PresetOperations of(ObjectStore store) {
        return new PresetOperations(
                store, Clock.systemUTC(), () -> UUID.randomUUID().toString(), RETRY_TIMEOUT);
    }

    /**
     * Stores a preset under its name. If it is in force, the new content comes into force.
     *
     * @param preset the preset
     * @param request operator and reason; its {@code expected} is the revision to replace, 0 for a
     *     new preset
     * @return the change that took effect, or the error
     */
    public Either<PresetError, PresetChange> put(Preset preset, ChangeRequest request) {
        return PresetChunks.split(preset)
                .flatMap(
                        chunks ->
                                commit(request, base -> put(preset.name(), chunks, base, request)));
    }

    /**
     * Applies a change to the index as it is now, and again if a node wrote an earlier activation
     * back meanwhile, unless the operator named the state to be replaced.
     */
    private Either<PresetError, PresetChange> commit(
            ChangeRequest request,
            Function<IndexVersion, Either<PresetError, PresetChange>> change) {
        for (int attempt = 1; ; attempt++) {
            Either<PresetError, PresetChange> result = indexCommit.read().flatMap(change);
            boolean lostToWriteBack =
                    result.isLeft()
                            && result.getLeft()
                                    instanceof PresetError.LostRace(Optional<PresetChange> winner)
                            && winner.filter(PresetChange::writtenBack).isPresent();
            if (!lostToWriteBack
                    || request.expected().isPresent()
                    || attempt == MAX_COMMIT_ATTEMPTS) {
                return result;
            }
        }
    }

    private Either<PresetError, PresetChange> put(
            String name, PresetChunks chunks, IndexVersion base, ChangeRequest request) {
        long revision = base.index().revision(name);
        if (request.expected().orElse(revision) != revision) {
            return Either.left(new PresetError.LostRace(lastPut(base.index(), name)));
        }
        PresetIndex next =
                base.index().afterPut(name, chunks.manifestDigest(), origin(base, request));
        return writeChunks(chunks, base.index().presets().get(name))
                .flatMap(written -> indexCommit.commit(base, next));
    }

    /**
     * Puts a preset in force.
     *
     * @param name its name
     * @param request operator and reason; its {@code expected} is the activation number to replace
     * @return the change that took effect, or the error
     */
    public Either<PresetError, PresetChange> use(String name, ChangeRequest request) {
        return commit(request, base -> use(name, base, request));
    }

    private Either<PresetError, PresetChange> use(
            String name, IndexVersion base, ChangeRequest request) {
        PresetIndex index = base.index();
        if (!index.presets().containsKey(name)) {
            return Either.left(new PresetError.UnknownPreset(name, index.presets().keySet()));
        }
        if (request.expected().orElse(index.activationNumber()) != index.activationNumber()) {
            return Either.left(new PresetError.LostRace(index.activation()));
        }
        // Refuse to activate a preset whose manifest is missing from the store.
        return readManifest(index.presets().get(name).manifest())
                .flatMap(
                        digests ->
                                indexCommit.commit(
                                        base, index.afterUse(name, origin(base, request))));
    }

    /**
     * Reads the index of all presets and the preset in force.
     *
     * @return the index, or the error
     */
    public Either<PresetError, PresetIndex> list() {
        return indexCommit.read().map(IndexVersion::index);
    }

    /**
     * Reads a preset.
     *
     * @param name its name
     * @return the preset and its entry, or the error
     */
    public Either<PresetError, StoredPreset> show(String name) {
        return indexCommit
                .read()
                .flatMap(
                        base -> {
                            PresetIndex.Entry entry = base.index().presets().get(name);
                            return entry == null
                                    ? Either.left(
                                            new PresetError.UnknownPreset(
                                                    name, base.index().presets().keySet()))
                                    : readPreset(entry.manifest())
                                            .map(preset -> new StoredPreset(entry, preset));
                        });
    }

    /**
     * Reads the last changes.
     *
     * @param limit maximum number of changes, at least 1
     * @return the changes, newest first, or the error
     */
    public Either<PresetError, List<PresetChange>> history(int limit) {
        Either<PresetError, PresetIndex> index = list();
        List<PresetChange> result = new ArrayList<>();
        long number = index.map(PresetIndex::lastChange).getOrElse(0L);
        while (result.size() < limit && number > 0) {
            Either<PresetError, Optional<PresetChange>> change =
                    indexCommit.readChange(index.get(), number--);
            if (change.isLeft()) {
                return Either.left(change.getLeft());
            }
            change.get().ifPresent(result::add);
        }
        return index.map(read -> result);
    }

    private PresetIndex.Origin origin(IndexVersion base, ChangeRequest request) {
        return new PresetIndex.Origin(
                operationIds.get(),
                request.reason(),
                request.operator(),
                base.serverTime().orElseGet(clock::millis),
                request.fleetNumber());
    }

    private static Optional<PresetChange> lastPut(PresetIndex index, String preset) {
        return index.changes().reversed().stream()
                .filter(change -> change.kind() == PresetChange.Kind.PUT)
                .filter(change -> change.preset().equals(preset))
                .findFirst();
    }

    private Either<PresetError, Integer> writeChunks(
            PresetChunks chunks, PresetIndex.Entry previous) {
        Set<String> present = new HashSet<>();
        if (previous != null) {
            // If the old manifest cannot be read, all chunks are written: slower, but also correct.
            readManifest(previous.manifest()).forEach(present::addAll);
        }
        Map<String, byte[]> missing = new HashMap<>(chunks.chunks());
        missing.keySet().removeAll(present);
        missing.put(chunks.manifestDigest(), chunks.manifest());
        List<Supplier<Either<StoreError, ObjectKey>>> writes = new ArrayList<>();
        missing.forEach(
                (digest, content) -> writes.add(() -> calls.writeOnce(chunkKey(digest), content)));
        return calls.all(writes).<PresetError>mapLeft(PresetError.Store::new).map(List::size);
    }

    private Either<PresetError, Preset> readPreset(String manifestDigest) {
        Either<PresetError, byte[]> manifest = readChunk(manifestDigest);
        return manifest.flatMap(content -> PresetChunks.digests(manifestDigest, content))
                .flatMap(this::readChunks)
                .flatMap(chunks -> PresetChunks.assemble(manifestDigest, manifest.get(), chunks));
    }

    private Either<PresetError, List<String>> readManifest(String manifestDigest) {
        return readChunk(manifestDigest)
                .flatMap(content -> PresetChunks.digests(manifestDigest, content));
    }

    private Either<PresetError, Map<String, byte[]>> readChunks(List<String> digests) {
        List<Supplier<Either<StoreError, StoredObject>>> reads = new ArrayList<>();
        digests.forEach(digest -> reads.add(() -> calls.read(chunkKey(digest))));
        return calls.all(reads)
                .map(
                        objects -> {
                            Map<String, byte[]> chunks = new HashMap<>();
                            objects.forEach(o -> chunks.put(o.key().name(), o.value()));
                            return chunks;
                        })
                .mapLeft(PresetOperations::contentError);
    }

    private Either<PresetError, byte[]> readChunk(String digest) {
        return calls.read(chunkKey(digest))
                .map(StoredObject::value)
                .mapLeft(PresetOperations::contentError);
    }

    private static PresetError contentError(StoreError error) {
        return error instanceof StoreError.NotFound(ObjectKey key)
                ? new PresetError.Corrupt(
                        key.toString(), "it is missing", "put the preset again from its file")
                : new PresetError.Store(error);
    }

    private static ObjectKey chunkKey(String digest) {
        return new ObjectKey(PresetChunks.KIND, digest);
    }
}
