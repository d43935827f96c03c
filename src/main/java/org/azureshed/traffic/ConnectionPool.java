package org.azureshed.traffic;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Connections to servers, kept for reuse. The connection used last is reused first, so that spare
 * ones age and are closed. Runs on one event loop.
 */
public final class ConnectionPool {
    private static final int MAX_LINE_BYTES = 16 << 10;
    private static final int MAX_HEADER_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    /** Share of a server's idle timeout after which its connection is no longer used. */
    private static final double USABLE_IDLE_PART = 0.6;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final long maxIdleNanos;
    private final Map<String, Deque<ClientCall>> idle = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param loop event loop of all connections
     * @param connectTimeoutMillis longest wait for a connection
     * @param maxIdleMillis time after which an idle connection is not reused
     */
    public ConnectionPool(EventLoop loop, int connectTimeoutMillis, long maxIdleMillis) {
        this.loop = loop;
        this.maxIdleNanos = TimeUnit.MILLISECONDS.toNanos(maxIdleMillis);
        this.bootstrap =
                SocketOptions.client(
                        new Bootstrap()
                                .group(loop)
                                .channel(NioSocketChannel.class)
                                .option(
                                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                        connectTimeoutMillis));
    }

    /**
     * Starts a call on a kept or a new connection.
     *
     * @param address IP address and port
     * @param maxIdleForCallNanos longest time that a kept connection may have been idle
     * @param listener receives what happens
     * @return the call
     */
    ClientCall call(String address, long maxIdleForCallNanos, CallListener listener) {
        ClientCall kept = takeIdle(address, maxIdleForCallNanos);
        if (kept != null) {
            kept.start(listener);
            return kept;
        }
        ClientCall call = new ClientCall(this, address, listener);
        connect(call, address);
        return call;
    }

    void giveBack(ClientCall call) {
        call.idleSince(System.nanoTime());
        idle.computeIfAbsent(call.address(), key -> new ArrayDeque<>()).addFirst(call);
    }

    void discard(ClientCall call) {
        Deque<ClientCall> calls = idle.get(call.address());
        if (calls != null) {
            calls.remove(call);
            if (calls.isEmpty()) {
                idle.remove(call.address());
            }
        }
    }

    /** Closes connections that were idle for too long. */
    public void closeIdle() {
        long now = System.nanoTime();
        for (Deque<ClientCall> calls : java.util.List.copyOf(idle.values())) {
            for (ClientCall call : java.util.List.copyOf(calls)) {
                if (!usable(call, maxIdleNanos, now)) {
                    discard(call);
                    call.close();
                }
            }
        }
    }

    private ClientCall takeIdle(String address, long maxIdleForCallNanos) {
        Deque<ClientCall> calls = idle.get(address);
        long now = System.nanoTime();
        while (calls != null && !calls.isEmpty()) {
            ClientCall call = calls.peekFirst();
            if (call.open() && usable(call, Math.min(maxIdleForCallNanos, maxIdleNanos), now)) {
                discard(call);
                return call;
            }
            if (call.open() && usable(call, maxIdleNanos, now)) {
                // Idle for too long for this call only; all others in the queue are older.
                return null;
            }
            discard(call);
            call.close();
        }
        return null;
    }

    private static boolean usable(ClientCall call, long limitNanos, long now) {
        long idleNanos = now - call.idleSinceNanos();
        return idleNanos < limitNanos && idleNanos < call.keepAliveNanos() * USABLE_IDLE_PART;
    }

    private void connect(ClientCall call, String address) {
        ChannelFuture connecting =
                bootstrap
                        .clone()
                        .handler(new Initializer(call))
                        .connect(SocketAddresses.parse(address));
        call.attach(connecting.channel());
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        loop.execute(() -> call.fail(CallFailure.NOT_CONNECTED));
                    }
                });
    }

    private static final class Initializer extends ChannelInitializer<SocketChannel> {
        private final ClientCall call;

        Initializer(ClientCall call) {
            this.call = call;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new HttpRequestEncoder())
                    .addLast(
                            new HttpResponseDecoder(
                                    MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                    .addLast(call);
        }
    }
}
