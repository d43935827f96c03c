package org.azureshed.proxy;

import jakarta.servlet.http.HttpServletRequest;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.InputStreamEntity;
import org.azureshed.model.RefusalReason;

/**
 * Body of a request whose first part is buffered in memory.
 *
 * <p>A body that fits into the buffer can be resent; a larger one is streamed and can be sent only
 * once.
 */
final class RequestBody {
    /** Size of the buffer for each request. */
    static final int BUFFER_BYTES = 64 * 1024;

    private final byte[] prefix;
    private final InputStream rest;
    private final long length;
    private final long maxBytes;
    private volatile boolean restRead;

    private RequestBody(byte[] prefix, InputStream rest, long length, long maxBytes) {
        this.prefix = prefix;
        this.rest = rest;
        this.length = length;
        this.maxBytes = maxBytes;
    }

    /**
     * Reads the body up to the size of the buffer.
     *
     * @param request the request
     * @param maxBytes size limit of the body in bytes, enforced while it is streamed
     * @return the body
     * @throws CallerBodyException if the caller's connection fails
     */
    static RequestBody read(HttpServletRequest request, long maxBytes) throws CallerBodyException {
        long length = request.getContentLengthLong();
        boolean chunked = request.getHeader(HttpHeaders.TRANSFER_ENCODING) != null;
        if (length == 0 || (length < 0 && !chunked)) {
            // Reading would allocate a 16 KB buffer even though there is no body.
            return empty();
        }
        try {
            InputStream input = request.getInputStream();
            byte[] prefix = input.readNBytes(BUFFER_BYTES);
            boolean complete = prefix.length < BUFFER_BYTES || prefix.length == length;
            return complete
                    ? new RequestBody(prefix, null, prefix.length, maxBytes)
                    : new RequestBody(prefix, input, length, maxBytes);
        } catch (IOException e) {
            throw new CallerBodyException(RefusalReason.BODY_TOO_SLOW, e);
        }
    }

    /** Returns the empty body. */
    static RequestBody empty() {
        return new RequestBody(new byte[0], null, 0, 0);
    }

    /** Whether the body can still be sent from its start. */
    boolean replayable() {
        return !restRead;
    }

    /** Whether the body is larger than the buffer. */
    boolean large() {
        return rest != null;
    }

    byte[] prefix() {
        return prefix;
    }

    /**
     * Creates the entity for one attempt.
     *
     * @param progress called after each read of the streamed part
     * @return the entity, or null if the body is empty
     */
    HttpEntity entity(Runnable progress) {
        if (rest == null) {
            return prefix.length == 0 ? null : new ByteArrayEntity(prefix, null);
        }
        InputStream whole =
                new SequenceInputStream(new ByteArrayInputStream(prefix), new Rest(progress));
        return new InputStreamEntity(whole, length, null);
    }

    /** The part of the body after the prefix. */
    private final class Rest extends InputStream {
        private final Runnable progress;
        private long total = prefix.length;

        Rest(Runnable progress) {
            this.progress = progress;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : Byte.toUnsignedInt(one[0]);
        }

        @Override
        public int read(byte[] buffer, int offset, int count) throws IOException {
            restRead = true;
            int read = readFromCaller(buffer, offset, count);
            total += Math.max(read, 0);
            if (total > maxBytes) {
                throw new CallerBodyException(RefusalReason.BODY_LIMIT, null);
            }
            progress.run();
            return read;
        }

        private int readFromCaller(byte[] buffer, int offset, int count)
                throws CallerBodyException {
            try {
                return rest.read(buffer, offset, count);
            } catch (IOException e) {
                throw new CallerBodyException(RefusalReason.BODY_TOO_SLOW, e);
            }
        }
    }
}
