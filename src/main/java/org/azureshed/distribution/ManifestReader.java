package org.azureshed.distribution;

import io.vavr.control.Either;
import java.util.List;

/** Reads the chunk digests from a manifest. */
@FunctionalInterface
public interface ManifestReader {
    /**
     * Reads a manifest.
     *
     * @param digest its digest
     * @param content its bytes, which match the digest
     * @return the digests of its chunks, or {@link ContentError.BadManifest}
     */
    Either<ContentError, List<ContentDigest>> chunks(ContentDigest digest, byte[] content);
}
