package org.azureshed.idempotency;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Hash of a request's content. It shows whether a key is reused for other content.
 *
 * @param hex SHA-256 in lower-case hexadecimal digits
 */
public record ContentFingerprint(String hex) {
    /** Checks the number and case of the digits. */
    public ContentFingerprint {
        checkArgument(
                hex.matches("[0-9a-f]{64}"),
                "fingerprint \"%s\" is not 64 lower-case hexadecimal digits",
                hex);
    }

    /**
     * Hashes a request.
     *
     * @param method HTTP method
     * @param pathAndQuery path and query of the request's URI
     * @param body the body, or the first bytes of a streamed one
     * @return the fingerprint
     */
    public static ContentFingerprint of(String method, String pathAndQuery, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putInt(method.length());
        hasher.putString(method, StandardCharsets.UTF_8);
        hasher.putInt(pathAndQuery.length());
        hasher.putString(pathAndQuery, StandardCharsets.UTF_8);
        hasher.putBytes(body);
        return new ContentFingerprint(hasher.hash().toString());
    }
}
