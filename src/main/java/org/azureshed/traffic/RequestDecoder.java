package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Decodes the requests on one connection. It rejects a head whose lines are not those of a request,
 * and one with two kinds of framing.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Largest first line, and largest size of all headers, whatever the limit in force is. */
    static final int MAX_HEAD_BYTES = 1 << 20;

    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final HeadLineCheck lines;
    private final String idHeader;

    /**
     * The identifier of a request whose head was refused before it was read.
     *
     * @param id value of the header
     */
    record LateId(String id) {}

    /**
     * Creates a decoder.
     *
     * @param maxHeadBytes largest size in bytes of the request line, and of all headers together,
     *     up to {@link #MAX_HEAD_BYTES}; may change
     * @param idHeader name of the header with a request's identifier, which a malformed head keeps
     *     for the log; empty if there is none
     */
    RequestDecoder(IntSupplier maxHeadBytes, String idHeader) {
        super(MAX_HEAD_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
        this.idHeader = idHeader;
        this.lines = HeadLineCheck.ofRequests(maxHeadBytes, idHeader);
    }

    /** Estimate of the heap that an unfinished or malformed head uses; 0 between heads. */
    long unfinishedHeadBytes() {
        return lines.unfinishedHeadBytes();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        boolean idKnown = !lines.id().isEmpty();
        if (lines.accept(buffer, this::createInvalidMessage, out)) {
            int before = buffer.readableBytes();
            super.decode(context, buffer, out);
            if (out.isEmpty()) {
                int left = buffer.readableBytes();
                // After a read without output the rest may be data, which the next call passes on.
                boolean stuck = left == before;
                lines.readWithoutOutput(before - left, stuck ? left : 0, out);
                if (!out.isEmpty()) {
                    // Nothing behind a fault is decoded.
                    buffer.skipBytes(left);
                }
            } else {
                lines.decoded(out);
            }
        } else if (out.isEmpty() && !idKnown && !lines.id().isEmpty()) {
            context.fireUserEventTriggered(new LateId(lines.id()));
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
