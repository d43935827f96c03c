package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpRequest;
import org.azureshed.poison.RequestFingerprint;

/**
 * Computes fingerprints of requests from the caller's service, method, path, query and body prefix.
 */
final class Fingerprints {
    private Fingerprints() {}

    static RequestFingerprint of(String callerService, HttpRequest request, ByteBuf body) {
        int length = Math.min(body.readableBytes(), RequestFingerprint.BODY_PREFIX_BYTES);
        return RequestFingerprint.of(
                callerService,
                "",
                request.method().name(),
                request.uri(),
                "",
                ByteBufUtil.getBytes(body, body.readerIndex(), length));
    }
}
