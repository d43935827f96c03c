package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.Endpoint;

/**
 * One client connection, which carries one call at a time. It returns to the pool only when the
 * request was written and the response received completely, and no other bytes arrived.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Interim responses to one request; a host side sends at most two. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    /** Bytes of late responses to earlier requests that are skipped before the connection ends. */
    private static final long MAX_SKIPPED_BYTES = 1 << 20;

    /** Bytes of a response that nobody needs which are read to keep the connection. */
    private static final long MAX_DRAINED_BYTES = 16 << 10;

    /** Longest time for which such a response is read. */
    private static final long MAX_DRAIN_MILLIS = 250;

    /** Receives the rest of a response after its call has ended. */
    private static final CallListener DRAIN =
            new CallListener() {
                @Override
                public void connected() {}

                @Override
                public boolean head(HttpResponse response) {
                    return true;
                }

                @Override
                public void content(ByteBuf data) {}

                @Override
                public void end() {}

                @Override
                public void failed(CallFailure failure) {}
            };

    private final ConnectionPool pool;
    private final Endpoint address;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private Channel channel;
    private CallListener listener;
    private HttpResponse head;

    /** Whether the current response is discarded because it belongs to an earlier request. */
    private boolean skippingResponse;

    /** Whether the connection may carry another call; false once a response forbids it. */
    private boolean reusable = true;

    private int requests;
    private boolean requestWritten;
    private boolean connectionReset;
    private boolean releasePending;
    private int interimResponses;
    private long skippedBytes;
    private long drainedBytes;
    private ScheduledFuture<?> drainTimer;
    private long idleSinceNanos;
    private long keepAliveNanos = Long.MAX_VALUE;

    ClientConnection(ConnectionPool pool, Endpoint address, CallListener listener) {
        this.pool = pool;
        this.address = address;
        this.listener = listener;
    }

    Endpoint address() {
        return address;
    }

    ResponseDecoder decoder() {
        return decoder;
    }

    /** Number of requests that the connection carried, including the current one. */
    int requests() {
        return requests;
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    void idleSince(long nowNanos) {
        idleSinceNanos = nowNanos;
    }

    long keepAliveNanos() {
        return keepAliveNanos;
    }

    boolean open() {
        return channel != null && channel.isActive();
    }

    /** Starts a new call on this idle connection. */
    void start(CallListener next) {
        listener = next;
        head = null;
        skippingResponse = false;
        requestWritten = false;
        interimResponses = 0;
        skippedBytes = 0;
        next.connected();
    }

    void attach(Channel connected) {
        channel = connected;
    }

    /** Writes a part of the request without flushing. */
    void write(HttpObject part) {
        if (part instanceof HttpRequest) {
            requests++;
        }
        if (part instanceof LastHttpContent) {
            channel.write(part).addListener(done -> requestWritten = done.isSuccess());
        } else {
            channel.write(part);
        }
    }

    void flush() {
        channel.flush();
    }

    /** Pauses or resumes reading, as backpressure for a receiver that is slower than the sender. */
    void setAutoRead(boolean enabled) {
        if (channel != null) {
            channel.config().setAutoRead(enabled);
        }
    }

    /** Closes the connection when the current response is complete. */
    void forbidReuse() {
        reusable = false;
    }

    /**
     * Ends the call after the head of its response; the listener gets no further event. A short
     * rest of the response is read, so that the connection can be reused; otherwise it is closed.
     */
    void endCall() {
        if (!reusable) {
            cancel();
            return;
        }
        listener = DRAIN;
        drainedBytes = 0;
        drainTimer =
                channel.eventLoop().schedule(this::cancel, MAX_DRAIN_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Aborts the call and closes the connection; the listener gets no further event. */
    void cancel() {
        listener = null;
        close();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        if (listener == null) {
            close();
            return;
        }
        listener.connected();
    }

    /**
     * Returns a handler for the bytes before they are decoded. Bytes on an idle connection belong
     * to no call; the decoder would keep them until they form a message, and then prefix the
     * response of a later call with them.
     */
    ChannelHandler idleGuard() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (listener == null && channel == context.channel()) {
                    ReferenceCountUtil.release(message);
                    closeUnsolicited();
                } else {
                    context.fireChannelRead(message);
                }
            }
        };
    }

    private void closeUnsolicited() {
        pool.events().anomaly("unsolicited_bytes", "server", address, "requests", requests);
        releasePending = false;
        pool.discard(this);
        close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener == null) {
                // The rest of a read batch that began with the end of a response.
                closeUnsolicited();
                return;
            }
            read(message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
            fail(CallFailure.MALFORMED);
            return;
        }
        if (message instanceof HttpResponse response) {
            onHead(response);
        }
        if (message instanceof HttpContent content && head != null) {
            if (skippingResponse) {
                skippedBytes += content.content().readableBytes();
                if (skippedBytes > MAX_SKIPPED_BYTES) {
                    fail(CallFailure.MALFORMED);
                    return;
                }
            } else if (listener == DRAIN) {
                drainedBytes += content.content().readableBytes();
                if (drainedBytes > MAX_DRAINED_BYTES) {
                    cancel();
                    return;
                }
            } else if (content.content().isReadable()) {
                listener.content(content.content());
            }
            if (message instanceof LastHttpContent && listener != null) {
                onEnd();
            }
        }
    }

    private void onHead(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interimResponses++;
            if (interimResponses > MAX_INTERIM_RESPONSES) {
                fail(CallFailure.MALFORMED);
            } else {
                listener.informational(response.status().code());
            }
            return;
        }
        head = response;
        keepAliveNanos = KeepAlive.nanos(response);
        skippingResponse = !listener.head(response);
        reusable &= !skippingResponse && HttpUtil.isKeepAlive(response);
    }

    private void onEnd() {
        if (skippingResponse) {
            skippingResponse = false;
            head = null;
            return;
        }
        if (connectionReset) {
            fail(CallFailure.TRUNCATED);
            return;
        }
        if (decoder.undecodedBytes() > 0) {
            pool.events()
                    .anomaly(
                            "bytes_after_answer",
                            "server",
                            address,
                            "requests",
                            requests,
                            "bytes",
                            decoder.undecodedBytes());
        }
        CallListener ended = listener;
        listener = null;
        cancelDrainTimer();
        // The receiver of this response may have paused reading; the next call must not inherit it.
        setAutoRead(true);
        if (reusable && requestWritten && open()) {
            // Released when the read batch is complete, so that trailing bytes are detected before.
            releasePending = true;
        } else {
            close();
        }
        ended.end();
    }

    private void cancelDrainTimer() {
        if (drainTimer != null) {
            drainTimer.cancel(false);
            drainTimer = null;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (releasePending) {
            releasePending = false;
            pool.release(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            pool.events().unexpected("outgoing_call", cause);
        }
        // A reset must not count as the regular end of a response without a length.
        connectionReset = true;
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelDrainTimer();
        pool.discard(this);
        if (listener != null) {
            fail(head == null ? CallFailure.CLOSED : CallFailure.TRUNCATED);
        }
    }

    void fail(CallFailure failure) {
        CallListener failed = listener;
        listener = null;
        close();
        if (failed != null) {
            failed.failed(failure);
        }
    }
}
