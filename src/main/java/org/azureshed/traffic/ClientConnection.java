package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.Endpoint;

/**
 * One client connection, which carries one call at a time. It returns to the pool only when the
 * request was written and the response received completely, and nothing is left behind it: neither
 * in the decoder nor in the rest of the read. What arrives until the next request is written ends
 * the connection.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Interim responses to one request; a host side sends at most two. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    /** Bytes of late responses to earlier requests that are skipped before the connection ends. */
    private static final long MAX_SKIPPED_BYTES = 1 << 20;

    /** Bytes of a response that nobody needs which are read to keep the connection. */
    private static final long MAX_DRAINED_BYTES = 16 << 10;

    /** Longest time for which a skipped response, or one that nobody needs, is read. */
    private static final long MAX_DISCARD_MILLIS = 250;

    /** Receives the rest of a response after its call has ended. */
    private static final CallListener DRAIN =
            new CallListener() {
                @Override
                public void connected(ClientConnection connection) {}

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
    private final RecentIds carried = new RecentIds();
    private PeekableSocketChannel channel;
    private CallListener listener;
    private HttpResponse head;

    /** Whether the current response is discarded because it belongs to an earlier request. */
    private boolean skippingResponse;

    /** Whether a response was discarded since the call began. */
    private boolean skippedResponse;

    /** Whether the connection may carry another call; false once a response forbids it. */
    private boolean reusable = true;

    private int requests;
    private boolean requestWritten;
    private boolean connectionReset;
    private boolean releasePending;
    private int interimResponses;
    private long skippedBytes;
    private long drainedBytes;
    private ScheduledFuture<?> discardTimer;
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

    /** Whether the current request was written to its end. */
    boolean requestWritten() {
        return requestWritten;
    }

    /** Notes the identifier of the next request. */
    void carry(String requestId) {
        carried.add(requestId);
    }

    /** Whether a recent request had this identifier. */
    boolean hasCarried(String requestId) {
        return carried.contains(requestId);
    }

    /**
     * Whether the server has sent nothing since the last response, and has not closed. Otherwise
     * the connection must be closed.
     */
    boolean silent() {
        return open() && channel.received() == PeekableSocketChannel.Received.NOTHING;
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
        skippedResponse = false;
        requestWritten = false;
        interimResponses = 0;
        skippedBytes = 0;
        next.connected(this);
    }

    void attach(PeekableSocketChannel connected) {
        channel = connected;
    }

    /** Writes a part of the request without flushing. */
    void write(HttpObject part) {
        if (part instanceof HttpRequest request) {
            requests++;
            decoder.requestMethod(request.method());
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
        limitDiscarding(this::cancel);
    }

    private void limitDiscarding(Runnable task) {
        cancelDiscardTimer();
        discardTimer =
                channel.eventLoop().schedule(task, MAX_DISCARD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Aborts the call and closes the connection; the listener gets no further event. */
    void cancel() {
        listener = null;
        cancelDiscardTimer();
        close();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (listener == null) {
            close();
        } else if (channel.received() == PeekableSocketChannel.Received.BYTES) {
            // They cannot be the response to a request that is not written yet.
            fail(CallFailure.MALFORMED);
        } else {
            listener.connected(this);
        }
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
                if (listener == null) {
                    ReferenceCountUtil.release(message);
                    closeUnsolicited();
                } else {
                    context.fireChannelRead(message);
                }
            }
        };
    }

    private void closeUnsolicited() {
        if (open()) {
            reportAnomaly("unsolicited_bytes", "");
        }
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
            reportAnomaly("malformed_response", object.decoderResult().cause().toString());
            fail(CallFailure.MALFORMED);
            return;
        }
        if (message instanceof HttpResponse response) {
            Optional<String> fault = ResponseHeads.fault(response, pool.singleHeaders());
            if (fault.isPresent()) {
                reportAnomaly("spliced_head", fault.get());
                fail(CallFailure.MALFORMED);
                return;
            }
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
        cancelDiscardTimer();
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interimResponses++;
            // No request asks for another protocol; the decoder reads no message after the switch.
            boolean switches = response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
            if (switches || interimResponses > MAX_INTERIM_RESPONSES) {
                fail(CallFailure.MALFORMED);
            } else {
                listener.informational(response.status().code());
            }
            return;
        }
        head = response;
        keepAliveNanos = KeepAlive.nanos(response);
        skippingResponse = !listener.head(response);
        if (skippingResponse) {
            // A copy arrives as a whole. If it does not, it swallows the response behind it.
            limitDiscarding(() -> fail(CallFailure.MALFORMED));
        }
        reusable &= !skippingResponse && HttpUtil.isKeepAlive(response);
    }

    private void onEnd() {
        if (skippingResponse) {
            skippingResponse = false;
            head = null;
            skippedResponse = true;
            cancelDiscardTimer();
            return;
        }
        if (connectionReset || !requestWritten && !open()) {
            // Netty reports a reset that a write meets only as the failure of that write. Without
            // a length, such an answer ends like a complete one.
            fail(CallFailure.TRUNCATED);
            return;
        }
        if (decoder.undecodedBytes() > 0) {
            // They would be decoded as the beginning of the next response.
            reportAnomaly("bytes_after_answer", decoder.undecodedBytes() + " bytes");
            reusable = false;
        }
        CallListener ended = listener;
        listener = null;
        cancelDiscardTimer();
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

    private void cancelDiscardTimer() {
        if (discardTimer != null) {
            discardTimer.cancel(false);
            discardTimer = null;
        }
    }

    private void reportAnomaly(String event, String cause) {
        pool.events().anomaly(event, "server", address, "requests", requests, "cause", cause);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (releasePending) {
            releasePending = false;
            pool.release(this);
        } else if (skippedResponse
                && listener != null
                && head == null
                && discardTimer == null
                && decoder.undecodedBytes() > 0) {
            // The skipped response may have ended within this one, whose rest forms no head.
            limitDiscarding(() -> fail(CallFailure.MALFORMED));
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
        cancelDiscardTimer();
        pool.discard(this);
        if (listener != null) {
            fail(head == null ? CallFailure.CLOSED : CallFailure.TRUNCATED);
        }
    }

    void fail(CallFailure failure) {
        CallListener failed = listener;
        listener = null;
        cancelDiscardTimer();
        close();
        if (failed != null) {
            failed.failed(failure);
        }
    }
}
