package org.azureshed.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection as a client, which carries one call at a time. A connection is reused only after
 * both sides of a call are complete and nothing but the response arrived.
 */
final class ClientCall extends ChannelInboundHandlerAdapter {
    private final ConnectionPool pool;
    private final String address;
    private Channel channel;
    private CallListener listener;
    private HttpResponse head;
    private boolean skipping;
    private boolean reusable = true;
    private boolean requestWritten;
    private boolean reset;
    private boolean returnPending;
    private long idleSinceNanos;
    private long keepAliveNanos = Long.MAX_VALUE;

    ClientCall(ConnectionPool pool, String address, CallListener listener) {
        this.pool = pool;
        this.address = address;
        this.listener = listener;
    }

    String address() {
        return address;
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

    /** Takes the idle connection for a new call. */
    void start(CallListener next) {
        listener = next;
        head = null;
        skipping = false;
        requestWritten = false;
        next.connected();
    }

    void attach(Channel connected) {
        channel = connected;
    }

    /** Writes a part of the request without flushing. */
    void write(HttpObject part) {
        if (part instanceof LastHttpContent) {
            channel.write(part).addListener(done -> requestWritten = done.isSuccess());
        } else {
            channel.write(part);
        }
    }

    void flush() {
        channel.flush();
    }

    /** Stops or resumes reading, for a receiver that is slower than the sender. */
    void reading(boolean enabled) {
        if (channel != null) {
            channel.config().setAutoRead(enabled);
        }
    }

    /** Ends the call and closes the connection; the listener hears nothing more. */
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

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener == null) {
                // Bytes that belong to no call; a later call must not read them.
                returnPending = false;
                pool.discard(this);
                close();
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
            if (!skipping && content.content().isReadable()) {
                listener.content(content.content());
            }
            if (message instanceof LastHttpContent && listener != null) {
                onEnd();
            }
        }
    }

    private void onHead(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            listener.informational(response.status().code());
            return;
        }
        head = response;
        keepAliveNanos = KeepAlive.nanos(response);
        skipping = !listener.head(response);
        reusable &= !skipping && HttpUtil.isKeepAlive(response);
    }

    private void onEnd() {
        if (skipping) {
            skipping = false;
            head = null;
            return;
        }
        if (reset) {
            fail(CallFailure.TRUNCATED);
            return;
        }
        CallListener ended = listener;
        listener = null;
        if (reusable && requestWritten && open()) {
            // Returned at the end of the batch, so that trailing bytes are seen first.
            returnPending = true;
        } else {
            close();
        }
        ended.end();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (returnPending) {
            returnPending = false;
            pool.giveBack(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A reset must not pass for the regular end of a response without a length.
        reset = true;
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
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
