package org.azureshed.transport;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.azureshed.generated.ControlMessage;

/** Installs framing, protobuf codecs, byte counters and the idle timeout on a connection. */
final class FramePipeline {
    static final int LENGTH_BYTES = 4;

    private FramePipeline() {}

    static void install(
            Channel channel, Duration idle, TransportCounters counters, ChannelHandler messages) {
        channel.pipeline()
                .addLast(new ByteCounter(counters))
                .addLast(new IdleStateHandler(0, 0, idle.toMillis(), TimeUnit.MILLISECONDS))
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                TransportLimits.MAX_FRAME_BYTES + LENGTH_BYTES,
                                0,
                                LENGTH_BYTES,
                                0,
                                LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new ProtobufDecoder(ControlMessage.getDefaultInstance()))
                .addLast(new ProtobufEncoder())
                .addLast(messages)
                .addLast(new ConnectionCloser(counters));
    }

    /** Counts the bytes that a connection sends and receives, including frame lengths. */
    private static final class ByteCounter extends ChannelDuplexHandler {
        private final TransportCounters counters;

        ByteCounter(TransportCounters counters) {
            this.counters = counters;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf buffer) {
                counters.bytesReceived.add(buffer.readableBytes());
            }
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf buffer) {
                counters.bytesSent.add(buffer.readableBytes());
            }
            context.write(message, promise);
        }
    }

    /** Closes a connection that is idle or has an error, and counts invalid frames. */
    private static final class ConnectionCloser extends ChannelInboundHandlerAdapter {
        private final TransportCounters counters;

        ConnectionCloser(TransportCounters counters) {
            this.counters = counters;
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof IdleStateEvent) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                counters.oversizedFrames.increment();
            } else if (cause instanceof DecoderException
                    || cause instanceof InvalidProtocolBufferException) {
                counters.malformedFrames.increment();
            }
            context.close();
        }
    }
}
