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
    /** Below the largest frame of a control connection, with room for the envelope. */
    public static final int MAX_CONTENT_BYTES = (1 << 20) - 1_024;

    private final ConcurrentMap<ContentDigest, byte[]> contents = new ConcurrentHashMap<>();

    /**
     * Stores contents after checking them against their digest.
     *
     * @param digest digest that the bytes must have
     * @param content the bytes; not to be changed afterwards
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
     * @return the bytes, not to be changed, or empty
     */
    public Optional<byte[]> get(ContentDigest digest) {
        return Optional.ofNullable(contents.get(digest));
    }

    /**
     * Drops all other contents.
     *
     * @param digests what to keep
     */
    public void retain(Set<ContentDigest> digests) {
        contents.keySet().retainAll(digests);
    }
}
