package org.azureshed.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.azureshed.generated.ControlMessage;
import org.azureshed.model.Endpoint;

/**
 * Control connections to other nodes, on one event loop thread.
 *
 * <p>The transport keeps one connection to each peer that it recently sent a message to. A failed
 * request yields a {@link TransportError} as a value; the returned stages never complete
 * exceptionally.
 *
 * <pre>{@code
 * ControlTransport transport = ControlTransport.create(TransportLimits.defaults(), handler);
 * transport.listen(new Endpoint("10.0.0.7", 7003));
 * transport.request(peer, message, Duration.ofMillis(500))
 *         .thenAccept(reply -> reply.peek(this::accept).peekLeft(this::report));
 * }</pre>
 */
public final class ControlTransport implements AutoCloseable {
    /**
     * Unsent bytes of a connection above which messages are refused; at least four chunks of a
     * preset fit.
     */
    private static final int UNSENT_LIMIT_BYTES = 2 * TransportLimits.MAX_FRAME_BYTES;

    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final TransportLimits limits;
    private final TransportCounters counters = new TransportCounters();
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Bootstrap client;
    private final InboundConnections inbound;

    /** Connections by peer, least recently used first. Accessed on the event loop only. */
    private final Map<Endpoint, PeerConnection> peers = new LinkedHashMap<>(16, 0.75f, true);

    private ControlTransport(TransportLimits limits, ControlHandler handler) {
        this.limits = limits;
        this.group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("control-io", true), NioIoHandler.newFactory());
        this.loop = group.next();
        this.inbound = new InboundConnections(limits, counters, handler);
        this.client =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.ALLOCATOR, allocator())
                        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) limits.connectTimeout().toMillis());
    }

    /**
     * Creates a transport that can send and does not listen yet.
     *
     * @param limits limits on connections and open requests
     * @param handler receives the messages of peers
     * @return the transport
     */
    public static ControlTransport create(TransportLimits limits, ControlHandler handler) {
        return new ControlTransport(limits, handler);
    }

    /**
     * Accepts connections of peers. Blocks until the listener is open.
     *
     * @param endpoint the address to listen on
     * @return the address, or {@link TransportError.NotListening}
     */
    public Either<TransportError, Endpoint> listen(Endpoint endpoint) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.ALLOCATOR, allocator())
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                        .childHandler(inbound)
                        .bind(address(endpoint))
                        .awaitUninterruptibly();
        return bound.isSuccess()
                ? Either.right(endpoint)
                : Either.left(new TransportError.NotListening(endpoint, bound.cause().toString()));
    }

    /**
     * Sends a request.
     *
     * @param peer control address of the receiving node
     * @param message the request; its request id is set by the transport
     * @param timeout longest time until the reply has arrived, including opening a connection
     * @return the reply or the error
     */
    public CompletionStage<Either<TransportError, ControlMessage>> request(
            Endpoint peer, ControlMessage message, Duration timeout) {
        PendingRequest pending = new PendingRequest(peer, message, timeout);
        if (message.getSerializedSize() > maxBodyBytes()) {
            pending.fail(tooLarge(message));
        } else {
            runOnLoop(pending, () -> connection(peer).request(pending));
        }
        return pending.result();
    }

    /**
     * Sends a message that needs no reply.
     *
     * @param peer control address of the receiving node
     * @param message the message; its request id is set to 0
     * @return the number of bytes, once they were passed to the operating system, or the error
     */
    public CompletionStage<Either<TransportError, Integer>> send(
            Endpoint peer, ControlMessage message) {
        CompletableFuture<Either<TransportError, Integer>> result = new CompletableFuture<>();
        ControlMessage oneWay = message.toBuilder().setRequestId(0).setReply(false).build();
        if (message.getSerializedSize() > maxBodyBytes()) {
            result.complete(Either.left(tooLarge(message)));
            return result;
        }
        try {
            loop.execute(() -> connection(peer).send(oneWay, result));
        } catch (RejectedExecutionException e) {
            result.complete(Either.left(new TransportError.Closed()));
        }
        return result;
    }

    /**
     * Returns the traffic counters of this transport.
     *
     * @return counters that are updated while the transport runs
     */
    public TransportCounters counters() {
        return counters;
    }

    /** Closes all connections and the listener. Open requests fail. */
    @Override
    public void close() {
        try {
            loop.execute(this::closePeers);
        } catch (RejectedExecutionException ignored) {
            // The transport was closed earlier.
            return;
        }
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    }

    private void closePeers() {
        List<PeerConnection> open = new ArrayList<>(peers.values());
        open.forEach(PeerConnection::close);
        inbound.close();
    }

    private void runOnLoop(PendingRequest pending, Runnable action) {
        try {
            loop.execute(action);
        } catch (RejectedExecutionException e) {
            pending.fail(new TransportError.Closed());
        }
    }

    private PeerConnection connection(Endpoint peer) {
        PeerConnection existing = peers.get(peer);
        if (existing != null && !existing.closed()) {
            return existing;
        }
        evictUnused();
        PeerConnection connection = new PeerConnection(peer, loop, limits, counters);
        boolean full = peers.size() >= limits.maxOutbound();
        if (full) {
            connection.refuse("all " + limits.maxOutbound() + " connections are in use");
            return connection;
        }
        peers.put(peer, connection);
        ChannelFuture connectFuture =
                client.clone().handler(connection.initializer()).connect(address(peer));
        Channel channel = connectFuture.channel();
        connection.attach(connectFuture);
        channel.closeFuture().addListener(closed -> peers.remove(peer, connection));
        return connection;
    }

    private void evictUnused() {
        if (peers.size() < limits.maxOutbound()) {
            return;
        }
        peers.values().stream()
                .filter(PeerConnection::isUnused)
                .findFirst()
                .ifPresent(
                        oldest -> {
                            peers.remove(oldest.peer());
                            oldest.close();
                        });
    }

    /** Leaves room for the request id of at most 11 bytes that the transport adds to a message. */
    private static int maxBodyBytes() {
        return TransportLimits.MAX_FRAME_BYTES - 16;
    }

    private static TransportError tooLarge(ControlMessage message) {
        return new TransportError.TooLarge(message.getSerializedSize(), maxBodyBytes());
    }

    private static InetSocketAddress address(Endpoint endpoint) {
        return new InetSocketAddress(endpoint.host(), endpoint.port());
    }

    /** Uses unpooled heap buffers: traffic is a few KB/s, and buffer pools would hold megabytes. */
    private static UnpooledByteBufAllocator allocator() {
        return new UnpooledByteBufAllocator(false, true);
    }

    private static WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(UNSENT_LIMIT_BYTES / 2, UNSENT_LIMIT_BYTES);
    }
}
