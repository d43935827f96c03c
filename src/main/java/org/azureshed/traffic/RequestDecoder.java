package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Decodes the requests on one connection. It rejects a head whose lines are not those of a request,
 * and one with two kinds of framing.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 16 << 10;
    private static final int MAX_HEADER_BYTES = 32 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final HeadLineCheck lines;
    private final String idHeader;

    /**
     * Creates a decoder.
     *
     * @param idHeader name of the header with a request's identifier, which a malformed head keeps
     *     for the log; empty if there is none
     */
    RequestDecoder(String idHeader) {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        this.idHeader = idHeader;
        this.lines = HeadLineCheck.ofRequests(idHeader);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (lines.accept(buffer, this::createInvalidMessage, out)) {
            super.decode(context, buffer, out);
            lines.decoded(out);
        }
        keepIdOfMalformed(out);
    }

    private void keepIdOfMalformed(List<Object> out) {
        if (!out.isEmpty()
                && out.get(out.size() - 1) instanceof HttpMessage message
                && message.decoderResult().isFailure()
                && !lines.id().isEmpty()) {
            message.headers().set(idHeader, lines.id());
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage request) {
        throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
    }
}
