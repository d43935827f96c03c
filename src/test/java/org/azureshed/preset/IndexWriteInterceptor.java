package org.azureshed.preset;

import io.vavr.control.Either;
import java.time.Duration;
import org.azureshed.platform.Listing;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;

/** Runs test actions right before or after the next index write, or drops all index writes. */
final class IndexWriteInterceptor implements ObjectStore {
    private final ObjectStore store;
    private Runnable before = () -> {};
    private Runnable after = () -> {};
    private boolean losesIndexWrites;

    IndexWriteInterceptor(ObjectStore store) {
        this.store = store;
    }

    void beforeIndexWrite(Runnable action) {
        before = action;
    }

    void afterIndexWrite(Runnable action) {
        after = action;
    }

    void loseIndexWrites() {
        losesIndexWrites = true;
    }

    @Override
    public Either<StoreError, StoredObject> put(ObjectKey key, byte[] value, long version) {
        if (!key.equals(PresetIndex.KEY)) {
            return store.put(key, value, version);
        }
        if (losesIndexWrites) {
            return Either.left(new StoreError.OutcomeUnknown("lost request"));
        }
        Runnable first = before;
        Runnable last = after;
        before = () -> {};
        after = () -> {};
        first.run();
        Either<StoreError, StoredObject> result = store.put(key, value, version);
        last.run();
        return result;
    }

    @Override
    public Either<StoreError, StoredObject> get(ObjectKey key) {
        return store.get(key);
    }

    @Override
    public Either<StoreError, StoredObject> delete(ObjectKey key, long version) {
        return store.delete(key, version);
    }

    @Override
    public Either<StoreError, Listing> list(String kind) {
        return store.list(kind);
    }

    @Override
    public Either<StoreError, Listing> watch(String kind, long since, Duration timeout) {
        return store.watch(kind, since, timeout);
    }
}
