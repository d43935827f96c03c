package org.azureshed.distribution;

/** Reason for rejecting contents. */
public sealed interface ContentError {
    /**
     * Explains the error and its remedy.
     *
     * @return one sentence
     */
    String message();

    /**
     * The bytes do not match the requested digest.
     *
     * @param expected the requested digest
     * @param actual the digest of the bytes
     */
    record WrongDigest(ContentDigest expected, ContentDigest actual) implements ContentError {
        @Override
        public String message() {
            return "content "
                    + expected
                    + " was received with digest "
                    + actual
                    + "; use another source";
        }
    }

    /**
     * The contents are larger than {@link ContentStore#MAX_CONTENT_BYTES}.
     *
     * @param bytes their size
     * @param limit largest size in bytes
     */
    record TooLarge(int bytes, int limit) implements ContentError {
        @Override
        public String message() {
            return "content has " + bytes + " bytes, the limit is " + limit + "; split it";
        }
    }

    /**
     * The manifest cannot be read.
     *
     * @param digest its digest
     * @param detail description of the format error
     */
    record BadManifest(ContentDigest digest, String detail) implements ContentError {
        @Override
        public String message() {
            return "manifest " + digest + " is malformed (" + detail + "); put the preset again";
        }
    }
}
