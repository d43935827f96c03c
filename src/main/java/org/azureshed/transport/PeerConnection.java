package org.azureshed.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azureshed.generated.ControlMessage;
import org.azureshed.model.Endpoint;

/** The connection that this node opened to one peer. All methods run on the event loop. */
final class PeerConnection {
    private record Open(PendingRequest request, ScheduledFuture<?> timeout) {}

    private record Waiting(
            ControlMessage message, CompletableFuture<Either<TransportError, Integer>> result) {}

    private final Endpoint peer;
    private final EventLoop loop;
    private final TransportLimits limits;
    private final TransportCounters counters;
    private final Map<Long, Open> open = new HashMap<>();
    private final Queue<Waiting> waiting = new ArrayDeque<>();
    private Channel channel;
    private boolean connected;
    private TransportError failure;
    private long lastId;

    PeerConnection(
            Endpoint peer, EventLoop loop, TransportLimits limits, TransportCounters counters) {
        this.peer = peer;
        this.loop = loop;
        this.limits = limits;
        this.counters = counters;
    }

    Endpoint peer() {
        return peer;
    }

    boolean closed() {
        return failure != null;
    }

    boolean unused() {
        return connected && open.isEmpty();
    }

    void refuse(String detail) {
        failure = new TransportError.Overloaded(peer, detail);
    }

    ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel created) {
                FramePipeline.install(created, limits.idle(), counters, new Replies());
            }
        };
    }

    void opening(ChannelFuture opening) {
        channel = opening.channel();
        opening.addListener(
                done -> {
                    if (done.isSuccess()) {
                        connected = true;
                        channel.closeFuture()
                                .addListener(
                                        closed -> fail(new TransportError.ConnectionLost(peer)));
                        flushWaiting();
                    } else {
                        String detail = String.valueOf(done.cause().getMessage());
                        fail(new TransportError.Unreachable(peer, detail));
                    }
                });
    }

    void request(PendingRequest request) {
        if (failure != null) {
            request.fail(failure);
            return;
        }
        if (open.size() >= limits.maxPending()) {
            request.fail(
                    new TransportError.Overloaded(peer, limits.maxPending() + " open requests"));
            return;
        }
        long id = ++lastId;
        ScheduledFuture<?> timeout =
                loop.schedule(() -> timeOut(id), request.millisLeft(), TimeUnit.MILLISECONDS);
        open.put(id, new Open(request, timeout));
        CompletableFuture<Either<TransportError, Integer>> written = new CompletableFuture<>();
        send(request.message(id), written);
        written.thenAccept(
                result ->
                        result.peekLeft(
                                error -> {
                                    Open failed = open.remove(id);
                                    if (failed != null) {
                                        failed.timeout().cancel(false);
                                        failed.request().fail(error);
                                    }
                                }));
    }

    void send(ControlMessage message, CompletableFuture<Either<TransportError, Integer>> result) {
        if (failure != null) {
            result.complete(Either.left(failure));
        } else if (!connected) {
            enqueue(message, result);
        } else if (!channel.isWritable()) {
            result.complete(
                    Either.left(new TransportError.Overloaded(peer, "unsent bytes at limit")));
        } else {
            write(message, result);
        }
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private void enqueue(
            ControlMessage message, CompletableFuture<Either<TransportError, Integer>> result) {
        if (waiting.size() >= limits.maxPending()) {
            result.complete(
                    Either.left(
                            new TransportError.Overloaded(
                                    peer, limits.maxPending() + " messages wait to be sent")));
            return;
        }
        waiting.add(new Waiting(message, result));
    }

    private void flushWaiting() {
        for (Waiting next = waiting.poll(); next != null; next = waiting.poll()) {
            send(next.message(), next.result());
        }
    }

    private void write(
            ControlMessage message, CompletableFuture<Either<TransportError, Integer>> result) {
        int bytes = message.getSerializedSize() + FramePipeline.LENGTH_BYTES;
        channel.writeAndFlush(message)
                .addListener(
                        done ->
                                result.complete(
                                        done.isSuccess()
                                                ? Either.right(bytes)
                                                : Either.left(
                                                        new TransportError.ConnectionLost(peer))));
    }

    private void timeOut(long id) {
        Open late = open.remove(id);
        if (late != null) {
            late.request().timeOut();
        }
    }

    private void fail(TransportError error) {
        if (failure != null) {
            return;
        }
        failure = error;
        List<Open> requests = new ArrayList<>(open.values());
        open.clear();
        for (Open failed : requests) {
            failed.timeout().cancel(false);
            failed.request().fail(error);
        }
        for (Waiting next = waiting.poll(); next != null; next = waiting.poll()) {
            next.result().complete(Either.left(error));
        }
    }

    /** Matches replies to open requests. A peer sends nothing else on this connection. */
    private final class Replies extends SimpleChannelInboundHandler<ControlMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ControlMessage message) {
            Open request = message.getReply() ? open.remove(message.getRequestId()) : null;
            if (request == null) {
                counters.unknownReplies.increment();
                return;
            }
            request.timeout().cancel(false);
            request.request().complete(message);
        }
    }
}
