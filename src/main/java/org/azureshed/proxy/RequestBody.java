package org.azureshed.proxy;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.InputStreamEntity;

/**
 * Body of a request of which the first part is held in memory.
 *
 * <p>A body that fits into the buffer can be sent again; a larger one is streamed and can be sent
 * once.
 */
final class RequestBody {
    /** Bytes held in memory for each request. */
    static final int BUFFER_BYTES = 64 * 1024;

    private final byte[] prefix;
    private final InputStream rest;
    private final long length;
    private boolean restSent;

    private RequestBody(byte[] prefix, InputStream rest, long length) {
        this.prefix = prefix;
        this.rest = rest;
        this.length = length;
    }

    /**
     * Reads the first part of a body.
     *
     * @param input the body
     * @param length its length in bytes, or -1 if it is not known
     * @return the body
     * @throws IOException if the caller's connection fails
     */
    static RequestBody read(InputStream input, long length) throws IOException {
        byte[] prefix = input.readNBytes(BUFFER_BYTES);
        boolean complete = prefix.length < BUFFER_BYTES || prefix.length == length;
        return new RequestBody(prefix, complete ? null : input, complete ? prefix.length : length);
    }

    boolean replayable() {
        return rest == null || !restSent;
    }

    boolean large() {
        return rest != null;
    }

    byte[] prefix() {
        return prefix;
    }

    /**
     * The entity of one attempt.
     *
     * @return the entity, or null if the body is empty
     */
    HttpEntity entity() {
        if (rest == null) {
            return prefix.length == 0 ? null : new ByteArrayEntity(prefix, null);
        }
        InputStream tail =
                new InputStream() {
                    @Override
                    public int read() throws IOException {
                        restSent = true;
                        return rest.read();
                    }

                    @Override
                    public int read(byte[] buffer, int offset, int count) throws IOException {
                        restSent = true;
                        return rest.read(buffer, offset, count);
                    }
                };
        InputStream whole = new SequenceInputStream(new ByteArrayInputStream(prefix), tail);
        return new InputStreamEntity(whole, length, null);
    }
}
