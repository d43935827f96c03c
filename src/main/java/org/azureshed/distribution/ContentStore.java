package org.azureshed.distribution;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Manifests and chunks in this node's memory, by digest. Safe for use by several threads.
 *
 * <pre>{@code
 * store.put(digest, bytes).peek(stored -> submit(new DistributionEvent.ChunkStored(digest)));
 * }</pre>
 */
public final class ContentStore {
    /**
     * Largest content size; leaves room for the envelope in the largest frame of a control
     * connection.
     */
    public static final int MAX_CONTENT_BYTES = (1 << 20) - 1_024;

    private final ConcurrentMap<ContentDigest, byte[]> contents = new ConcurrentHashMap<>();

    /**
     * Stores contents after checking them against their digest.
     *
     * @param digest digest that the bytes must have
     * @param content the bytes; must not be modified afterwards
     * @return the digest, or {@link ContentError.WrongDigest} or {@link ContentError.TooLarge}
     */
    public Either<ContentError, ContentDigest> put(ContentDigest digest, byte[] content) {
        if (content.length > MAX_CONTENT_BYTES) {
            return Either.left(new ContentError.TooLarge(content.length, MAX_CONTENT_BYTES));
        }
        ContentDigest actual = ContentDigest.of(content);
        if (!actual.equals(digest)) {
            return Either.left(new ContentError.WrongDigest(digest, actual));
        }
        contents.put(digest, content);
        return Either.right(digest);
    }

    /**
     * Finds contents.
     *
     * @param digest their digest
     * @return the bytes, which must not be modified, or empty if there are none
     */
    public Optional<byte[]> get(ContentDigest digest) {
        return Optional.ofNullable(contents.get(digest));
    }

    /**
     * Removes all contents except the given ones.
     *
     * @param digests digests of the contents to keep
     */
    public void retain(Set<ContentDigest> digests) {
        contents.keySet().retainAll(digests);
    }
}
