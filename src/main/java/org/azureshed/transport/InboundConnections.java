package org.azureshed.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.ImmediateEventExecutor;
import org.azureshed.generated.ControlMessage;

/** Initializes accepted connections and passes their messages to the handler. */
@Sharable
final class InboundConnections extends ChannelInitializer<Channel> {
    private final TransportLimits limits;
    private final TransportCounters counters;
    private final ControlHandler handler;

    private final ChannelGroup accepted = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);

    InboundConnections(TransportLimits limits, TransportCounters counters, ControlHandler handler) {
        this.limits = limits;
        this.counters = counters;
        this.handler = handler;
    }

    @Override
    protected void initChannel(Channel channel) {
        if (accepted.size() >= limits.maxInbound()) {
            counters.rejectedConnections.increment();
            channel.close();
            return;
        }
        accepted.add(channel);
        FramePipeline.install(channel, limits.inboundIdle(), counters, new RequestReader());
    }

    void close() {
        accepted.close();
    }

    private final class RequestReader extends SimpleChannelInboundHandler<ControlMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ControlMessage message) {
            if (message.getReply()) {
                counters.unknownReplies.increment();
                return;
            }
            long id = message.getRequestId();
            Channel channel = context.channel();
            handler.received(message, reply -> respond(channel, id, reply));
        }
    }

    private static void respond(Channel channel, long id, ControlMessage reply) {
        if (id == 0) {
            return;
        }
        ControlMessage replyWithId = reply.toBuilder().setRequestId(id).setReply(true).build();
        if (replyWithId.getSerializedSize() > TransportLimits.MAX_FRAME_BYTES
                || !channel.isWritable()) {
            // The peer reads too slowly or would reject the frame. Closing fails its request early.
            channel.close();
            return;
        }
        channel.writeAndFlush(replyWithId);
    }
}
