package org.azureshed.platform;

import io.vavr.control.Either;
import java.time.Duration;

/**
 * Client of the platform's object API. Calls block, so they belong on virtual threads.
 *
 * <pre>{@code
 * store.get(new ObjectKey("presets", "index"))
 *         .flatMap(old -> store.put(old.key(), newValue, old.version()));
 * }</pre>
 */
public interface ObjectStore {
    /** Expected version for a {@link #put} that creates an object. */
    long MUST_NOT_EXIST = 0;

    /** Largest size of a value in bytes. */
    int MAX_VALUE_BYTES = 1 << 20;

    /**
     * Reads an object.
     *
     * @param key kind and name of the object
     * @return the object, or an error such as {@link StoreError.NotFound}
     */
    Either<StoreError, StoredObject> get(ObjectKey key);

    /**
     * Writes an object if its current version is the expected one.
     *
     * @param key kind and name of the object
     * @param value new content, at most {@link #MAX_VALUE_BYTES} bytes
     * @param expectedVersion version the object must have, or {@link #MUST_NOT_EXIST}
     * @return the object as written, or an error such as {@link StoreError.Conflict}
     */
    Either<StoreError, StoredObject> put(ObjectKey key, byte[] value, long expectedVersion);

    /**
     * Deletes an object if its current version is the expected one.
     *
     * @param key kind and name of the object
     * @param expectedVersion version the object must have
     * @return the deletion with its version, or an error such as {@link StoreError.Conflict}
     */
    Either<StoreError, StoredObject> delete(ObjectKey key, long expectedVersion);

    /**
     * Reads all objects of a kind.
     *
     * @param kind kind of the objects
     * @return the objects and the store version to watch from, or an error
     */
    Either<StoreError, Listing> list(String kind);

    /**
     * Waits for changes to objects of a kind (long polling).
     *
     * @param kind kind of the objects
     * @param sinceVersion version of the previous listing or watch result
     * @param timeout longest wait; after it the result is a listing without objects
     * @return the changes, or an error such as {@link StoreError.Compacted}
     */
    Either<StoreError, Listing> watch(String kind, long sinceVersion, Duration timeout);
}
