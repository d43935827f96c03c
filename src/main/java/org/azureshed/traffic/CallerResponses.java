package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Builds the responses that the entry side sends to callers. */
final class CallerResponses {
    private CallerResponses() {}

    /**
     * Builds a response with the complete body of an answer.
     *
     * @param method method of the request
     * @param source head of the target's answer
     * @param body complete body; owned by the response
     */
    static DefaultFullHttpResponse complete(HttpMethod method, HttpResponse source, ByteBuf body) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, source.status(), body);
        ForwardedHeaders.copy(source.headers(), response.headers());
        if (ResponseHeads.mayHaveBody(method, source.status())) {
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        } else if (source.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            // Tells the length that the body of another answer would have.
            response.headers()
                    .set(
                            HttpHeaderNames.CONTENT_LENGTH,
                            source.headers().get(HttpHeaderNames.CONTENT_LENGTH));
        }
        return response;
    }

    /**
     * Builds the head of a response whose body follows in parts.
     *
     * @param source head of the target's answer
     */
    static HttpResponse streamed(HttpResponse source) {
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, source.status());
        ForwardedHeaders.copy(source.headers(), response.headers());
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        return response;
    }

    /**
     * Builds a response of this node, without a body.
     *
     * @param status HTTP status
     * @param request request that is answered
     * @param names headers that callers use
     */
    static DefaultFullHttpResponse empty(int status, HttpRequest request, HeaderNames names) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        String id = request.headers().get(names.requestId());
        if (id != null) {
            response.headers().set(names.requestId(), id);
        }
        return response;
    }

    static void setConnection(HttpResponse response, boolean keep) {
        if (!keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
