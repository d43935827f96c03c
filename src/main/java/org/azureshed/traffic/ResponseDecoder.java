package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Decodes the responses on one client connection. It rejects a head whose lines are not those of a
 * response and one with two kinds of framing, knows the method on which framing depends, and tells
 * whether bytes are left behind a response.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 16 << 10;
    private static final int MAX_HEADER_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final HeadLineCheck lines = HeadLineCheck.ofResponses();
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
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (lines.accept(buffer, this::createInvalidMessage, out)) {
            super.decode(context, buffer, out);
            lines.decoded(out);
        }
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
