package org.azureshed.traffic;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses on one client connection. It rejects a response with two kinds of framing,
 * knows the method on which framing depends, and tells whether bytes are left behind a response.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 16 << 10;
    private static final int MAX_HEADER_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private HttpMethod method = HttpMethod.GET;

    ResponseDecoder() {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    /** Sets the method of the request that the next response answers. */
    void requestMethod(HttpMethod next) {
        method = next;
    }

    /**
     * Returns the number of bytes that arrived behind the message that is being delivered. Outside
     * of a delivery it leaves out the lines of a begun head, which are decoded already.
     */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage response) {
        return method.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(response);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage response) {
        throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
    }
}
