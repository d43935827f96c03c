package org.azureshed.platform;

import io.vavr.control.Either;
import java.time.Duration;

/**
 * Client of the platform's object API. Calls block; use them on virtual threads.
 *
 * <pre>{@code
 * store.get(new ObjectKey("presets", "index"))
 *         .flatMap(old -> store.put(old.key(), newValue, old.version()));
 * }</pre>
 */
public interface ObjectStore {
    /** Version for {@link #put} of an object that must not exist yet. */
    long MUST_NOT_EXIST = 0;

    /** Largest value in bytes. */
    int MAX_VALUE_BYTES = 1 << 20;

    /**
     * Reads an object.
     *
     * @param key its name
     * @return the object, or {@link StoreError.NotFound} and the other errors
     */
    Either<StoreError, StoredObject> get(ObjectKey key);

    /**
     * Writes an object if it still has a version.
     *
     * @param key its name
     * @param value new content, at most {@link #MAX_VALUE_BYTES}
     * @param expectedVersion version that it must have, or {@link #MUST_NOT_EXIST}
     * @return the new version, or {@link StoreError.Conflict} and the other errors
     */
    Either<StoreError, StoredObject> put(ObjectKey key, byte[] value, long expectedVersion);

    /**
     * Deletes an object if it still has a version.
     *
     * @param key its name
     * @param expectedVersion version that it must have
     * @return the deleted version, or {@link StoreError.Conflict} and the other errors
     */
    Either<StoreError, StoredObject> delete(ObjectKey key, long expectedVersion);

    /**
     * Reads all objects of a kind.
     *
     * @param kind the kind
     * @return the objects and the version to watch from
     */
    Either<StoreError, Listing> list(String kind);

    /**
     * Waits for changes of objects of a kind.
     *
     * @param kind the kind
     * @param sinceVersion version of the last listing or watch
     * @param timeout longest wait; an empty listing is returned after it
     * @return the changes, or {@link StoreError.Compacted} and the other errors
     */
    Either<StoreError, Listing> watch(String kind, long sinceVersion, Duration timeout);
}
