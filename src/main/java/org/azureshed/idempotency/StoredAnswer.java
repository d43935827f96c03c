package org.azureshed.idempotency;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.protobuf.ByteString;
import java.util.Map;

/**
 * Answer of a completed request, which is sent to later requests with the same key.
 *
 * @param status HTTP status
 * @param headers headers of the answer
 * @param body body; empty if the answer was too large to keep
 */
public record StoredAnswer(int status, Map<String, String> headers, ByteString body) {
    /** Largest body in bytes. */
    public static final int MAX_BODY_BYTES = 8 << 10;

    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;

    /** Checks the status and the size and copies the headers. */
    public StoredAnswer {
        // Another node may send a record without a status, or with one that no answer can have.
        checkArgument(
                status >= MIN_STATUS && status <= MAX_STATUS,
                "status %s of a stored answer is not from 200 to 599",
                status);
        checkArgument(body.size() <= MAX_BODY_BYTES, "body of a stored answer exceeds 8 KiB");
        headers = Map.copyOf(headers);
    }

    /**
     * An answer without headers and body.
     *
     * @param status HTTP status
     * @return the answer
     */
    public static StoredAnswer ofStatus(int status) {
        return new StoredAnswer(status, Map.of(), ByteString.EMPTY);
    }

    long bytes() {
        return body.size()
                + headers.entrySet().stream()
                        .mapToLong(header -> header.getKey().length() + header.getValue().length())
                        .sum();
    }
}
