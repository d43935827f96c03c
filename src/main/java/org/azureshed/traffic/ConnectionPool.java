package org.azureshed.traffic;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.Endpoint;

/**
 * Connection pool for outgoing HTTP calls, by server address. The most recently used connection is
 * reused first, so that surplus ones reach their idle timeout. Runs on one event loop.
 */
public final class ConnectionPool {
    /** Fraction of a server's announced idle timeout after which a connection is not reused. */
    private static final double USABLE_IDLE_FRACTION = 0.6;

    private static final Deque<ClientConnection> NONE = new ArrayDeque<>(0);

    private final EventLoop loop;
    private final TrafficEvents events;
    private final Bootstrap bootstrap;
    private final long maxIdleNanos;
    private final List<String> singleHeaders;
    private final Map<Endpoint, Deque<ClientConnection>> idle = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param loop event loop of all connections
     * @param connectTimeoutMillis timeout of establishing a connection
     * @param maxIdleMillis time after which an idle connection is not reused
     * @param singleHeaders headers of which a response has at most one; a response with more was
     *     put together from several
     * @param events receives malformed responses and exceptions of the connections' listeners
     */
    public ConnectionPool(
            EventLoop loop,
            int connectTimeoutMillis,
            long maxIdleMillis,
            List<String> singleHeaders,
            TrafficEvents events) {
        this(
                loop,
                connectTimeoutMillis,
                maxIdleMillis,
                singleHeaders,
                events,
                PeekableSocketChannel::new);
    }

    /** Creates a pool whose channels come from a factory, which may fail. */
    ConnectionPool(
            EventLoop loop,
            int connectTimeoutMillis,
            long maxIdleMillis,
            List<String> singleHeaders,
            TrafficEvents events,
            ChannelFactory<PeekableSocketChannel> channels) {
        this.loop = loop;
        this.events = events;
        this.singleHeaders = List.copyOf(singleHeaders);
        this.maxIdleNanos = TimeUnit.MILLISECONDS.toNanos(maxIdleMillis);
        this.bootstrap =
                SocketOptions.client(
                        new Bootstrap()
                                .group(loop)
                                .channelFactory(channels)
                                .option(
                                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                        connectTimeoutMillis));
    }

    /**
     * Starts a call on a pooled or a new connection.
     *
     * @param address endpoint of the server, with an IP address
     * @param maxIdleForCallNanos longest time that a pooled connection may have been idle
     * @param listener receives the events of the call
     * @return the connection that carries the call; it may not be established yet
     */
    ClientConnection acquire(Endpoint address, long maxIdleForCallNanos, CallListener listener) {
        return acquire(address, maxIdleForCallNanos, "", listener);
    }

    /**
     * Starts a call on a pooled or a new connection that has not carried the same request before: a
     * second copy of the response to that one would have the identifier of this one.
     *
     * @param address endpoint of the server, with an IP address
     * @param maxIdleForCallNanos longest time that a pooled connection may have been idle
     * @param requestId identifier of the request; empty if responses have none
     * @param listener receives the events of the call
     * @return the connection that carries the call; it may not be established yet
     */
    ClientConnection acquire(
            Endpoint address, long maxIdleForCallNanos, String requestId, CallListener listener) {
        ClientConnection pooled = takeIdle(address, maxIdleForCallNanos, requestId);
        if (pooled != null) {
            pooled.carry(requestId);
            pooled.start(listener);
            return pooled;
        }
        ClientConnection connection = new ClientConnection(this, address, listener);
        connection.carry(requestId);
        connect(connection, address);
        return connection;
    }

    List<String> singleHeaders() {
        return singleHeaders;
    }

    TrafficEvents events() {
        return events;
    }

    void release(ClientConnection connection) {
        connection.idleSince(System.nanoTime());
        idle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>()).addFirst(connection);
    }

    void discard(ClientConnection connection) {
        Deque<ClientConnection> connections = idle.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
            if (connections.isEmpty()) {
                idle.remove(connection.address());
            }
        }
    }

    /** Closes connections that exceeded the idle time of the pool or of their server. */
    public void closeIdle() {
        long now = System.nanoTime();
        for (Deque<ClientConnection> connections : List.copyOf(idle.values())) {
            for (ClientConnection connection : List.copyOf(connections)) {
                if (!usable(connection, maxIdleNanos, now)) {
                    discard(connection);
                    connection.close();
                }
            }
        }
    }

    /** Closes the idle connections to a server. */
    void closeIdle(Endpoint address) {
        for (ClientConnection connection : List.copyOf(idle.getOrDefault(address, NONE))) {
            discard(connection);
            connection.close();
        }
    }

    private ClientConnection takeIdle(
            Endpoint address, long maxIdleForCallNanos, String requestId) {
        long now = System.nanoTime();
        for (ClientConnection connection : List.copyOf(idle.getOrDefault(address, NONE))) {
            if (!usable(connection, maxIdleNanos, now) || !connection.open()) {
                discard(connection);
                connection.close();
                continue;
            }
            if (!usable(connection, Math.min(maxIdleForCallNanos, maxIdleNanos), now)) {
                // Idle for too long for this call only; the others in the queue were idle for
                // longer.
                return null;
            }
            if (!requestId.isEmpty() && connection.hasCarried(requestId)) {
                continue;
            }
            discard(connection);
            if (connection.silent()) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private static boolean usable(ClientConnection connection, long limitNanos, long now) {
        long idleNanos = now - connection.idleSinceNanos();
        return idleNanos < limitNanos
                && idleNanos < connection.keepAliveNanos() * USABLE_IDLE_FRACTION;
    }

    private void connect(ClientConnection connection, Endpoint address) {
        ChannelFuture connecting =
                bootstrap
                        .clone()
                        .handler(new Initializer(connection))
                        .connect(SocketOptions.address(address));
        // Without a free descriptor no socket is created, and the failed future has another
        // channel.
        if (connecting.channel() instanceof PeekableSocketChannel channel) {
            connection.attach(channel);
        }
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        loop.execute(() -> connection.fail(CallFailure.NOT_CONNECTED));
                    }
                });
    }

    private static final class Initializer extends ChannelInitializer<SocketChannel> {
        private final ClientConnection connection;

        Initializer(ClientConnection connection) {
            this.connection = connection;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(connection.idleGuard())
                    .addLast(new RequestEncoder())
                    .addLast(connection.decoder())
                    .addLast(connection);
        }
    }
}
