package org.azureshed.traffic;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes the requests on one connection and rejects a request with two kinds of framing. */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 16 << 10;
    private static final int MAX_HEADER_BYTES = 32 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    RequestDecoder() {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage request) {
        throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
    }
}
