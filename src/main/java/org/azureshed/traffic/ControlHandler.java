package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One connection for control requests. A request must not follow before the reply to the previous
 * one: each reply is written as soon as it is ready.
 */
final class ControlHandler extends ChannelInboundHandlerAdapter {
    /** The list of all nodes of a large fleet and a large configuration stay below this limit. */
    private static final int MAX_BODY_BYTES = 8 << 20;

    /** A connection keeps a buffer of this size between requests. */
    private static final int KEPT_BUFFER_BYTES = 64 << 10;

    private static final int INTERNAL_SERVER_ERROR = 500;

    private final ControlEndpoint endpoint;
    private final TrafficEvents events;
    private final ByteBuf body = Unpooled.buffer(0);
    private HttpRequest request;

    ControlHandler(ControlEndpoint endpoint, TrafficEvents events) {
        this.endpoint = endpoint;
        this.events = events;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                context.close();
                return;
            }
            if (message instanceof HttpRequest head) {
                request = head;
                body.clear();
                if (body.capacity() > KEPT_BUFFER_BYTES) {
                    body.capacity(0);
                }
            }
            if (message instanceof HttpContent content) {
                onContent(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onContent(ChannelHandlerContext context, HttpContent content) {
        if (body.readableBytes() + content.content().readableBytes() > MAX_BODY_BYTES) {
            context.close();
            return;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            boolean keep = HttpUtil.isKeepAlive(request);
            AtomicBoolean replied = new AtomicBoolean();
            try {
                endpoint.handle(
                        request.method().name(),
                        request.uri(),
                        ByteBufUtil.getBytes(body),
                        reply -> {
                            if (replied.compareAndSet(false, true)) {
                                write(context, reply, keep);
                            }
                        });
            } catch (RuntimeException e) {
                events.unexpected("control_request", e);
                if (replied.compareAndSet(false, true)) {
                    write(context, ControlEndpoint.Reply.of(INTERNAL_SERVER_ERROR), false);
                }
            }
        }
    }

    private static void write(
            ChannelHandlerContext context, ControlEndpoint.Reply reply, boolean keep) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(reply.status()),
                        Unpooled.wrappedBuffer(reply.body()));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, reply.contentType())
                .set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        HttpUtil.setKeepAlive(response, keep);
        var written = context.writeAndFlush(response);
        if (!keep) {
            written.addListener(io.netty.channel.ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            events.unexpected("control_connection", cause);
        }
        context.close();
    }
}
