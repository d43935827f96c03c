package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes requests with the target as it was received. The decoder makes one character of each
 * byte; Netty's encoder would write those beyond ASCII as two bytes.
 */
final class RequestEncoder extends HttpRequestEncoder {
    private static final byte[] LINE_END = {'\r', '\n'};

    @Override
    protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) {
        String line =
                request.method().name() + ' ' + request.uri() + ' ' + request.protocolVersion();
        buffer.writeCharSequence(line, StandardCharsets.ISO_8859_1);
        buffer.writeBytes(LINE_END);
    }
}
