package org.azureshed.traffic;

import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes the responses on one client connection and tells what is left to decode. */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 16 << 10;
    private static final int MAX_HEADER_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    ResponseDecoder() {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    /**
     * Returns the number of bytes that arrived behind the message that is being delivered. Outside
     * of a delivery it leaves out the lines of a begun head, which are decoded already.
     */
    int undecodedBytes() {
        return actualReadableBytes();
    }
}
