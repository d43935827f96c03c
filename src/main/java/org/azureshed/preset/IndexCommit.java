package org.azureshed.preset;

import io.vavr.control.Either;
import java.util.Optional;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;

/** Reads the preset index and replaces it with a conditional write. */
final class IndexCommit {
    private final ObjectStore store;
    private final StoreCalls calls;

    IndexCommit(ObjectStore store, StoreCalls calls) {
        this.store = store;
        this.calls = calls;
    }

    /**
     * An index with the store version that a conditional write must match.
     *
     * @param index content of the index
     * @param version version in the store; 0 if the index does not exist yet
     * @param serverTime the platform's clock at the read, in milliseconds since the epoch; empty if
     *     the index does not exist
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
     * Reads a change from the index, or from the archive if the index no longer holds it.
     *
     * @return the change, or empty if no change has this number or the archived one is malformed
     */
    Either<PresetError, Optional<PresetChange>> readChange(PresetIndex index, long number) {
        Optional<PresetChange> retained = index.change(number);
        if (retained.isPresent() || number > index.lastChange()) {
            return Either.right(retained);
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
     * Replaces the index. A write whose response was lost is retried with the same expected
     * version, so at most one of the attempts takes effect.
     *
     * @param base the index that {@code next} was derived from
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
        PresetChange ownChange = next.changes().getLast();
        byte[] content = next.encode();
        boolean outcomeUnknown = false;
        StoreCalls.Backoff backoff = calls.fixedBackoff();
        while (true) {
            Either<StoreError, StoredObject> write =
                    store.put(PresetIndex.KEY, content, base.version());
            if (write.isRight()) {
                return Either.right(ownChange);
            }
            StoreError error = write.getLeft();
            boolean conflict = error instanceof StoreError.Conflict;
            outcomeUnknown |= error instanceof StoreError.OutcomeUnknown;
            if (outcomeUnknown || conflict) {
                Optional<Either<PresetError, PresetChange>> outcome =
                        resolveOutcome(base, ownChange, outcomeUnknown, conflict);
                if (outcome.isPresent()) {
                    return outcome.get();
                }
            }
            boolean retry = outcomeUnknown || conflict || StoreCalls.isTransient(error);
            if (!retry || !backoff.sleep()) {
                return Either.left(
                        outcomeUnknown
                                ? unknown(ownChange, error.message())
                                : new PresetError.Store(error));
            }
        }
    }

    /**
     * Reads the index to find out whether a write took effect.
     *
     * @param outcomeUnknown whether a response was lost, in which case the write may have taken
     *     effect
     * @param conflict whether the platform rejected the last attempt because of its version
     * @return the result, or empty if the write has to be retried
     */
    private Optional<Either<PresetError, PresetChange>> resolveOutcome(
            IndexVersion base, PresetChange ownChange, boolean outcomeUnknown, boolean conflict) {
        Either<PresetError, IndexVersion> read = read();
        if (read.isRight() && read.get().version() == base.version()) {
            return Optional.empty();
        }
        Either<PresetError, Optional<PresetChange>> change =
                read.flatMap(current -> readChange(current.index(), ownChange.number()));
        if (change.isLeft()) {
            return conflict && !outcomeUnknown
                    ? Optional.of(Either.left(new PresetError.LostRace(Optional.empty())))
                    : Optional.empty();
        }
        Optional<PresetChange> winner = change.get();
        if (winner.isPresent() && winner.get().operationId().equals(ownChange.operationId())) {
            return Optional.of(Either.right(winner.get()));
        }
        // The change can be missing only if the platform was restored from an older copy. The write
        // may have taken effect before the restore, and relays may have distributed it.
        boolean restored = winner.isEmpty() && outcomeUnknown;
        return Optional.of(
                Either.left(
                        restored
                                ? unknown(ownChange, "the platform was restored from an older copy")
                                : new PresetError.LostRace(winner)));
    }

    private static PresetError unknown(PresetChange ownChange, String detail) {
        return new PresetError.OutcomeUnknown(ownChange.operationId(), detail);
    }

    private static ObjectKey archiveKey(long number) {
        return new ObjectKey(PresetOperations.CHANGE_KIND, Long.toString(number));
    }
}
