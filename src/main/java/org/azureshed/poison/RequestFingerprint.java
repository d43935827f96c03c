package org.azureshed.poison;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Recognises a request that is sent again: a hash of organisation, route, method, path, query and
 * the first bytes of the body.
 *
 * <p>SHA-256 is used because a caller must not be able to find a request with the fingerprint of
 * somebody else's.
 *
 * @param value 64 bits of the hash
 */
public record RequestFingerprint(long value) {
    /** Bytes of the body that are hashed. */
    public static final int BODY_PREFIX_BYTES = 4_096;

    private static final int HEX = 16;

    /**
     * Computes the fingerprint of a request.
     *
     * @param organisation the organisation
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
            // The length keeps parts apart whose concatenation is the same.
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
            return Optional.of(new RequestFingerprint(Long.parseUnsignedLong(text, HEX)));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }

    /** The form in headers and logs: hexadecimal digits. */
    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
