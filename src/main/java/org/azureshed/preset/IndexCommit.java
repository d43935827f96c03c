package org.azureshed.preset;

import io.vavr.control.Either;
import java.util.Optional;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;

/** Reads the index and replaces it by one conditional update. */
final class IndexCommit {
    private final ObjectStore store;
    private final StoreCalls calls;

    IndexCommit(ObjectStore store, StoreCalls calls) {
        this.store = store;
        this.calls = calls;
    }

    /**
     * The index as it was read.
     *
     * @param index its content
     * @param version its version; 0 if it does not exist yet
     * @param serverTime the platform's time in milliseconds, if the index exists
     */
    record IndexVersion(PresetIndex index, long version, Optional<Long> serverTime) {}

    Either<PresetError, IndexVersion> read() {
        Either<StoreError, StoredObject> read = calls.read(PresetIndex.KEY);
        if (read.isLeft()) {
            return read.getLeft() instanceof StoreError.NotFound
                    ? Either.right(new IndexVersion(PresetIndex.empty(), 0, Optional.empty()))
                    : Either.left(new PresetError.Store(read.getLeft()));
        }
        StoredObject object = read.get();
        return PresetIndex.decode(object.value())
                .map(
                        index ->
                                new IndexVersion(
                                        index,
                                        object.version(),
                                        Optional.of(object.serverTimeMillis())));
    }

    /**
     * Reads a change that the index may no longer keep.
     *
     * @return the change, or empty if there is no change of the number
     */
    Either<PresetError, Optional<PresetChange>> readChange(PresetIndex index, long number) {
        Optional<PresetChange> kept = index.change(number);
        if (kept.isPresent() || number > index.lastChange()) {
            return Either.right(kept);
        }
        Either<StoreError, StoredObject> read = calls.read(archiveKey(number));
        if (read.isLeft()) {
            return read.getLeft() instanceof StoreError.NotFound
                    ? Either.right(Optional.empty())
                    : Either.left(new PresetError.Store(read.getLeft()));
        }
        return Either.right(PresetIndex.decodeChange(read.get().value()));
    }

    /**
     * Replaces the index. An update whose answer was lost is sent again under the same condition,
     * so that at most one of the copies takes effect.
     *
     * @param base what {@code next} is based on
     * @param next the new index
     * @return the change that took effect, or the error
     */
    Either<PresetError, PresetChange> commit(IndexVersion base, PresetIndex next) {
        for (PresetChange dropped : base.index().droppedIn(next)) {
            Either<StoreError, ObjectKey> archived =
                    calls.writeOnce(archiveKey(dropped.number()), PresetIndex.encode(dropped));
            if (archived.isLeft()) {
                return Either.left(new PresetError.Store(archived.getLeft()));
            }
        }
        PresetChange own = next.changes().getLast();
        byte[] content = next.encode();
        boolean undecided = false;
        StoreCalls.Backoff backoff = calls.fixedBackoff();
        while (true) {
            Either<StoreError, StoredObject> write =
                    store.put(PresetIndex.KEY, content, base.version());
            if (write.isRight()) {
                return Either.right(own);
            }
            StoreError error = write.getLeft();
            boolean conflict = error instanceof StoreError.Conflict;
            undecided |= error instanceof StoreError.OutcomeUnknown;
            if (undecided || conflict) {
                Optional<Either<PresetError, PresetChange>> decision =
                        decide(base, own, undecided, conflict);
                if (decision.isPresent()) {
                    return decision.get();
                }
            }
            boolean repeat = undecided || conflict || StoreCalls.isTransient(error);
            if (!repeat || !backoff.sleep()) {
                return Either.left(
                        undecided ? unknown(own, error.message()) : new PresetError.Store(error));
            }
        }
    }

    /**
     * Finds out what became of an update.
     *
     * @param undecided whether an answer was lost, so that the update may have taken effect
     * @param conflict whether the platform refused the last copy of the update
     * @return the result, or empty if the update has to be sent again
     */
    private Optional<Either<PresetError, PresetChange>> decide(
            IndexVersion base, PresetChange own, boolean undecided, boolean conflict) {
        Either<PresetError, IndexVersion> read = read();
        if (read.isRight() && read.get().version() == base.version()) {
            return Optional.empty();
        }
        Either<PresetError, Optional<PresetChange>> change =
                read.flatMap(current -> readChange(current.index(), own.number()));
        if (change.isLeft()) {
            return conflict && !undecided
                    ? Optional.of(Either.left(new PresetError.LostRace(Optional.empty())))
                    : Optional.empty();
        }
        Optional<PresetChange> winner = change.get();
        if (winner.isPresent() && winner.get().operationId().equals(own.operationId())) {
            return Optional.of(Either.right(winner.get()));
        }
        // The index can lack the number only if the platform was restored from an older copy. The
        // update may have taken effect before that, and relays may have passed it on.
        boolean restored = winner.isEmpty() && undecided;
        return Optional.of(
                Either.left(
                        restored
                                ? unknown(own, "the platform was restored from an older copy")
                                : new PresetError.LostRace(winner)));
    }

    private static PresetError unknown(PresetChange own, String detail) {
        return new PresetError.OutcomeUnknown(own.operationId(), detail);
    }

    private static ObjectKey archiveKey(long number) {
        return new ObjectKey(PresetOperations.CHANGE_KIND, Long.toString(number));
    }
}
