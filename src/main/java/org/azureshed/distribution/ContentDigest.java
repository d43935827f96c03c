package org.azureshed.distribution;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;
import java.util.HexFormat;

/**
 * SHA-256 of a manifest or chunk, which also identifies it.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record ContentDigest(String hex) implements Comparable<ContentDigest> {
    private static final int BYTES = 32;

    /** Checks the digits. */
    public ContentDigest {
        checkArgument(hex.matches("[0-9a-f]{64}"), "\"%s\" is not a hexadecimal SHA-256", hex);
    }

    /**
     * Computes the digest of contents.
     *
     * @param content the bytes
     * @return their digest
     */
    public static ContentDigest of(byte[] content) {
        return new ContentDigest(Hashing.sha256().hashBytes(content).toString());
    }

    /**
     * Creates a digest from its bytes.
     *
     * @param digest 32 bytes
     * @return the digest
     * @throws IllegalArgumentException if the length differs
     */
    public static ContentDigest fromBytes(byte[] digest) {
        checkArgument(digest.length == BYTES, "a digest has 32 bytes, not %s", digest.length);
        return new ContentDigest(HexFormat.of().formatHex(digest));
    }

    /**
     * The digest as bytes.
     *
     * @return 32 bytes
     */
    public byte[] toBytes() {
        return HexFormat.of().parseHex(hex);
    }

    @Override
    public int compareTo(ContentDigest other) {
        return hex.compareTo(other.hex);
    }

    @Override
    public String toString() {
        return hex;
    }
}
