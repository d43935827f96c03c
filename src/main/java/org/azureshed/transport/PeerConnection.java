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

/** An outbound connection to one peer. All methods run on the event loop. */
final class PeerConnection {
    private record OpenRequest(PendingRequest request, ScheduledFuture<?> timeout) {}

    private record QueuedMessage(
            ControlMessage message, CompletableFuture<Either<TransportError, Integer>> result) {}

    private final Endpoint peer;
    private final EventLoop loop;
    private final TransportLimits limits;
    private final TransportCounters counters;
    private final Map<Long, OpenRequest> open = new HashMap<>();
    private final Queue<QueuedMessage> sendQueue = new ArrayDeque<>();
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

    boolean isUnused() {
        return connected && open.isEmpty();
    }

    void refuse(String detail) {
        failure = new TransportError.Overloaded(peer, detail);
    }

    ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel created) {
                FramePipeline.install(created, limits.idle(), counters, new ReplyReader());
            }
        };
    }

    void attach(ChannelFuture connectFuture) {
        channel = connectFuture.channel();
        connectFuture.addListener(
                done -> {
                    if (done.isSuccess()) {
                        connected = true;
                        channel.closeFuture()
                                .addListener(
                                        closed -> fail(new TransportError.ConnectionLost(peer)));
                        flushSendQueue();
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
                loop.schedule(() -> timeOut(id), request.remainingMillis(), TimeUnit.MILLISECONDS);
        open.put(id, new OpenRequest(request, timeout));
        CompletableFuture<Either<TransportError, Integer>> written = new CompletableFuture<>();
        send(request.message(id), written);
        written.thenAccept(
                result ->
                        result.peekLeft(
                                error -> {
                                    OpenRequest failed = open.remove(id);
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
                    Either.left(
                            new TransportError.Overloaded(peer, "limit of unsent bytes reached")));
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
        if (sendQueue.size() >= limits.maxPending()) {
            result.complete(
                    Either.left(
                            new TransportError.Overloaded(
                                    peer, limits.maxPending() + " messages queued")));
            return;
        }
        sendQueue.add(new QueuedMessage(message, result));
    }

    private void flushSendQueue() {
        for (QueuedMessage next = sendQueue.poll(); next != null; next = sendQueue.poll()) {
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
        OpenRequest expired = open.remove(id);
        if (expired != null) {
            expired.request().timeOut();
        }
    }

    private void fail(TransportError error) {
        if (failure != null) {
            return;
        }
        failure = error;
        List<OpenRequest> requests = new ArrayList<>(open.values());
        open.clear();
        for (OpenRequest failed : requests) {
            failed.timeout().cancel(false);
            failed.request().fail(error);
        }
        for (QueuedMessage next = sendQueue.poll(); next != null; next = sendQueue.poll()) {
            next.result().complete(Either.left(error));
        }
    }

    /** Matches replies to open requests by id. Peers send only replies on this connection. */
    private final class ReplyReader extends SimpleChannelInboundHandler<ControlMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ControlMessage message) {
            OpenRequest request = message.getReply() ? open.remove(message.getRequestId()) : null;
            if (request == null) {
                counters.unknownReplies.increment();
                return;
            }
            request.timeout().cancel(false);
            request.request().complete(message);
        }
    }
}
