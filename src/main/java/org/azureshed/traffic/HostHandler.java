package org.azureshed.traffic;

import com.google.common.collect.ImmutableList;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/** One connection from an entry side, which offers one request at a time. */
final class HostHandler extends ChannelInboundHandlerAdapter {
    private final HostService service;
    private final List<String> singleHeaders;
    private HostExchange exchange;

    HostHandler(HostService service) {
        this.service = service;
        this.singleHeaders =
                ImmutableList.<String>builder()
                        .addAll(service.names().ofOneRequest())
                        .add(OfferHeader.NAME)
                        .build();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                context.close();
                return;
            }
            if (message instanceof HttpRequest request) {
                offer(context, request);
            }
            if (message instanceof HttpContent content && exchange != null) {
                exchange.bodyPart(content.content(), message instanceof LastHttpContent);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void offer(ChannelHandlerContext context, HttpRequest request) {
        if (exchange != null && !exchange.done()) {
            service.events().anomaly("offer_during_exchange");
            context.close();
            return;
        }
        Optional<String> fault = RequestHeads.fault(request, singleHeaders);
        if (fault.isPresent()) {
            service.events().anomaly("spliced_offer", "cause", fault.get());
            context.close();
            return;
        }
        try {
            String header = request.headers().get(OfferHeader.NAME, "");
            exchange = new HostExchange(service, context, request, OfferHeader.decode(header));
        } catch (IllegalArgumentException e) {
            service.events().anomaly("malformed_offer", "cause", e.getMessage());
            context.close();
            return;
        }
        service.offer(exchange);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.writabilityChanged(context.channel().isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.cancelled();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            service.events().unexpected("offer", cause);
        }
        context.close();
    }
}
