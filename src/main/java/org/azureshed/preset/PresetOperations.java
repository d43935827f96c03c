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
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.azureshed.model.Preset;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.preset.IndexCommit.IndexVersion;

/**
 * What operators do with presets.
 *
 * <pre>{@code
 * PresetOperations operations = PresetOperations.of(store);
 * operations.put(preset, ChangeRequest.of("maria", "more slots for exports"));
 * operations.use("peak", ChangeRequest.of("maria", "the festival opens at noon"));
 * }</pre>
 *
 * <p>A change takes effect by one conditional update of {@link PresetIndex}. After a lost answer
 * the index tells whether it took effect; an update that is still undecided is sent again under the
 * same condition, so that at most one of the copies takes effect.
 */
public final class PresetOperations {
    /** Kind of the objects that hold changes older than those of the index. */
    public static final String CHANGE_KIND = "change";

    private static final Duration PATIENCE = Duration.ofSeconds(10);

    private final StoreCalls calls;
    private final IndexCommit commits;
    private final Clock clock;
    private final Supplier<String> operationIds;

    /**
     * A preset with its entry in the index.
     *
     * @param entry who put it, and why
     * @param preset the content
     */
    public record StoredPreset(PresetIndex.Entry entry, Preset preset) {}

    /**
     * Creates operations.
     *
     * @param store the platform's store
     * @param clock time of the very first change; later ones use the platform's time
     * @param operationIds gives unique ids
     * @param patience how long failing calls are repeated while none succeeds
     */
    public PresetOperations(
            ObjectStore store, Clock clock, Supplier<String> operationIds, Duration patience) {
        this.calls = new StoreCalls(store, patience);
        this.commits = new IndexCommit(store, calls);
        this.clock = clock;
        this.operationIds = operationIds;
    }

    /**
     * Operations that repeat failing calls for 10 s.
     *
     * @param store the platform's store
     * @return the operations
     */
    public static PresetOperations of(ObjectStore store) {
        return new PresetOperations(
                store, Clock.systemUTC(), () -> UUID.randomUUID().toString(), PATIENCE);
    }

    /**
     * Stores a preset under its name. If it is in force, the new content comes into force.
     *
     * @param preset the preset
     * @param request who and why; {@code expected} is the revision to replace, 0 for a new preset
     * @return the change that took effect, or the error
     */
    public Either<PresetError, PresetChange> put(Preset preset, ChangeRequest request) {
        return PresetChunks.split(preset)
                .flatMap(
                        chunks ->
                                commits.read()
                                        .flatMap(
                                                base -> put(preset.name(), chunks, base, request)));
    }

    private Either<PresetError, PresetChange> put(
            String name, PresetChunks chunks, IndexVersion base, ChangeRequest request) {
        long revision = base.index().revision(name);
        if (request.expected().orElse(revision) != revision) {
            return lostTo(base.index(), change -> change.preset().equals(name));
        }
        PresetIndex next =
                base.index().afterPut(name, chunks.manifestDigest(), origin(base, request));
        return writeChunks(chunks, base.index().presets().get(name))
                .flatMap(written -> commits.commit(base, next));
    }

    /**
     * Puts a preset in force.
     *
     * @param name its name
     * @param request who and why; {@code expected} is the activation number to replace
     * @return the change that took effect, or the error
     */
    public Either<PresetError, PresetChange> use(String name, ChangeRequest request) {
        return commits.read().flatMap(base -> use(name, base, request));
    }

    private Either<PresetError, PresetChange> use(
            String name, IndexVersion base, ChangeRequest request) {
        PresetIndex index = base.index();
        if (!index.presets().containsKey(name)) {
            return Either.left(new PresetError.UnknownPreset(name, index.presets().keySet()));
        }
        if (request.expected().orElse(index.activationNumber()) != index.activationNumber()) {
            return lostTo(index, change -> change.activationNumber() == index.activationNumber());
        }
        // A preset whose content is gone must not come into force.
        return readManifest(index.presets().get(name).manifest())
                .flatMap(
                        digests ->
                                commits.commit(base, index.afterUse(name, origin(base, request))));
    }

    /**
     * Reads which presets exist and which one is in force.
     *
     * @return the index, or the error
     */
    public Either<PresetError, PresetIndex> list() {
        return commits.read().map(IndexVersion::index);
    }

    /**
     * Reads a preset.
     *
     * @param name its name
     * @return the preset and its entry, or the error
     */
    public Either<PresetError, StoredPreset> show(String name) {
        return commits.read()
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
     * @param limit how many, at least 1
     * @return the changes, newest first, or the error
     */
    public Either<PresetError, List<PresetChange>> history(int limit) {
        Either<PresetError, PresetIndex> index = list();
        List<PresetChange> result = new ArrayList<>();
        long number = index.map(PresetIndex::lastChange).getOrElse(0L);
        while (result.size() < limit && number > 0) {
            Either<PresetError, Optional<PresetChange>> change =
                    commits.readChange(index.get(), number--);
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

    private static Either<PresetError, PresetChange> lostTo(
            PresetIndex index, Predicate<PresetChange> isWinner) {
        return Either.left(
                new PresetError.LostRace(
                        index.changes().reversed().stream().filter(isWinner).findFirst()));
    }

    private Either<PresetError, Integer> writeChunks(
            PresetChunks chunks, PresetIndex.Entry previous) {
        Set<String> present = new HashSet<>();
        if (previous != null) {
            // Without the old manifest all chunks are written, which is slower but also correct.
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
