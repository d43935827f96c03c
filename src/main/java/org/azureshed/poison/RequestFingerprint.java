package org.azureshed.poison;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Identifies a request that is sent repeatedly: a hash of organisation, route, method, path, query
 * and the first bytes of the body.
 *
 * <p>SHA-256 makes it hard for a caller to construct a request with the fingerprint of another
 * caller's request.
 *
 * @param value 64 bits of the hash
 */
public record RequestFingerprint(long value) {
    /** Number of bytes at the start of the body that are hashed. */
    public static final int BODY_PREFIX_BYTES = 4_096;

    private static final int HEX_RADIX = 16;

    /**
     * Computes the fingerprint of a request.
     *
     * @param organisation organisation that sent it
     * @param route id of the route
     * @param method HTTP method
     * @param path path without query
     * @param query query string; empty if there is none
     * @param bodyStart start of the body; bytes after {@link #BODY_PREFIX_BYTES} are ignored
     * @return the fingerprint
     */
    public static RequestFingerprint of(
            String organisation,
            String route,
            String method,
            String path,
            String query,
            byte[] bodyStart) {
        Hasher hasher = Hashing.sha256().newHasher();
        for (String part : new String[] {organisation, route, method, path, query}) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            // Without the length, different parts with the same concatenation would be equal.
            hasher.putInt(bytes.length).putBytes(bytes);
        }
        int length = Math.min(bodyStart.length, BODY_PREFIX_BYTES);
        hasher.putBytes(Arrays.copyOf(bodyStart, length));
        return new RequestFingerprint(hasher.hash().asLong());
    }

    /**
     * Decodes the text form.
     *
     * @param text 1 to 16 hexadecimal digits
     * @return the fingerprint, or empty if the text is malformed
     */
    public static Optional<RequestFingerprint> parse(String text) {
        try {
            return Optional.of(new RequestFingerprint(Long.parseUnsignedLong(text, HEX_RADIX)));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }

    /** Hexadecimal digits, as in headers and logs. */
    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
