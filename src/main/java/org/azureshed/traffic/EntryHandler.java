package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.azureshed.dispatch.CallerAccount;
import org.azureshed.dispatch.ExchangeEvent;
import org.azureshed.dispatch.TrafficConfiguration;
import org.azureshed.model.RefusalReason;

/**
 * One caller's connection. Pipelined requests are served one after another; reading never pauses,
 * so that a disconnect of the caller is detected at once.
 */
final class EntryHandler extends ChannelInboundHandlerAdapter {
    /** HTTP messages queued behind the request being served; more close the connection. */
    private static final int MAX_PIPELINED_MESSAGES = 256;

    /**
     * Longest time for which the rest of a refused request is read. A connection that is closed
     * with unread bytes is reset, and its caller may lose the refusal.
     */
    private static final long MAX_DISCARD_MILLIS = 1_000;

    /** Least time after which a refused caller may try again; at most doubled at random. */
    private static final double MIN_RETRY_AFTER_SECONDS = 0.25;

    private final EntryService service;
    private final PipelinedMessages pipelined;
    private ChannelHandlerContext context;
    private EntryExchange exchange;
    private HttpRequest head;
    private long headNanos;
    private RequestBody body;
    private ScheduledFuture<?> timer;
    private boolean closing;

    /** Whether bytes arrived since the last read of a complete message part. */
    private boolean bytesArrived;

    private boolean headTimerRunning;

    /** Whether a part of a pipelined request was dropped, because there was no memory for it. */
    private boolean pipelineCut;

    /** What this connection makes the node hold. */
    private CallerAccount.Holding<EntryHandler> holding;

    /** Estimate of the heap for the head of the request being read or served. */
    private long headBytes;

    EntryHandler(EntryService service) {
        this.service = service;
        this.pipelined = new PipelinedMessages(service.bodyMemory());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        added.pipeline().addFirst(new ArrivalListener());
        awaitRequest();
        holding = service.callers().connected(this);
        service.callers().limitCount(holding);
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        if (message instanceof LastHttpContent) {
            // The bytes read so far belong to a complete request, not to the next head.
            bytesArrived = false;
        }
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (exchange != null) {
            enqueue(message);
        } else {
            handle(message);
        }
    }

    private void enqueue(Object message) {
        if (pipelineCut || !pipelined.add(message)) {
            pipelineCut = true;
            ReferenceCountUtil.release(message);
        } else if (pipelined.size() > MAX_PIPELINED_MESSAGES) {
            context.close();
        }
    }

    /**
     * Tells the arrival of bytes, of which the decoder reports nothing until a head is complete.
     */
    private final class ArrivalListener extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext own, Object message) {
            // Line ends between requests are allowed and begin no head.
            if (message instanceof ByteBuf bytes
                    && bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0) {
                bytesArrived = true;
            }
            own.fireChannelRead(message);
            updateAccount();
        }
    }

    /** Notes what the connection holds, and sees to it that the account's bound is kept. */
    private void updateAccount() {
        if (holding == null || !context.channel().isActive()) {
            return;
        }
        RequestDecoder decoder = context.pipeline().get(RequestDecoder.class);
        long unfinished = decoder == null ? 0 : decoder.unfinishedHeadBytes();
        long bodyBytes = body == null ? 0 : body.bytes().capacity();
        long receivedBytes = body == null ? 0 : body.bytes().readableBytes();
        boolean fits =
                service.callers()
                        .update(
                                holding,
                                phase(unfinished > 0),
                                headBytes + pipelined.headBytes() + unfinished,
                                bodyBytes + pipelined.bodyBytes(),
                                receivedBytes + pipelined.bodyBytes());
        if (fits) {
            return;
        }
        if (holding.phase() != CallerAccount.Phase.SERVING) {
            displace(RefusalReason.NODE_OVERLOADED);
        } else if (!pipelineCut) {
            // The request being served is answered; nothing behind it is read.
            pipelineCut = true;
            removeDecoder();
            updateAccount();
        }
    }

    private CallerAccount.Phase phase(boolean headBegun) {
        if (closing) {
            // The rest of an answer must still reach its caller.
            return answerUnread() ? CallerAccount.Phase.SERVING : CallerAccount.Phase.CLOSING;
        }
        if (exchange != null) {
            return CallerAccount.Phase.SERVING;
        }
        if (head != null || headBegun) {
            return CallerAccount.Phase.READING;
        }
        return answerUnread() ? CallerAccount.Phase.SERVING : CallerAccount.Phase.IDLE;
    }

    /** Whether a part of an answer waits for the caller to read. */
    private boolean answerUnread() {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return buffer != null && buffer.totalPendingWriteBytes() > 0;
    }

    /** Drops the rest of what the caller sends, and the head that the decoder has begun. */
    private void removeDecoder() {
        if (context.pipeline().get(RequestDecoder.class) != null) {
            context.pipeline().remove(RequestDecoder.class);
        }
    }

    /** Refuses what is being read because others need the memory, or closes the connection. */
    void displace() {
        displace(head == null ? RefusalReason.HEADER_TOO_SLOW : RefusalReason.BODY_TOO_SLOW);
    }

    private void displace(RefusalReason reason) {
        if (exchange != null) {
            // A refusal would not be true.
            return;
        }
        service.events()
                .anomaly(
                        "caller_displaced",
                        "phase",
                        holding.phase(),
                        "held",
                        holding.bytes(),
                        "stalled_ms",
                        TimeUnit.NANOSECONDS.toMillis(holding.stalledNanos(System.nanoTime())),
                        "caller",
                        context.channel().remoteAddress());
        if (closing || holding.phase() != CallerAccount.Phase.READING) {
            closing = true;
            releaseBody();
            service.callers().closing(holding);
            context.close();
            return;
        }
        refuseWhileReading(reason, "displaced");
        removeDecoder();
        updateAccount();
    }

    /** Reserves memory for the body being read; displaces other connections if necessary. */
    private boolean reserveBody(BooleanSupplier reservation, long bytes) {
        return reservation.getAsBoolean()
                || service.callers().makeRoom(holding, bytes - service.bodyMemory().freeBytes())
                        && reservation.getAsBoolean();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ignored) {
        boolean headBegun = bytesArrived && head == null && exchange == null && !closing;
        bytesArrived = false;
        if (headBegun && !headTimerRunning) {
            schedule(
                    limits().headerTimeoutMillis(),
                    () -> refuseWhileReading(RefusalReason.HEADER_TOO_SLOW));
            headTimerRunning = true;
        }
    }

    private void handle(Object message) {
        try {
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                if (message instanceof HttpRequest malformed) {
                    head = malformed;
                }
                malformed(object.decoderResult().cause());
                return;
            }
            if (message instanceof HttpRequest request) {
                onHead(request);
            }
            if (message instanceof HttpContent content && head != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpRequest request) {
        Optional<String> fault = RequestHeads.fault(request, service.names().ofOneRequest());
        if (fault.isPresent()) {
            service.events().anomaly("spliced_request", "cause", fault.get());
            head = request;
            refuseWhileReading(RefusalReason.BAD_FRAMING, fault.get());
            return;
        }
        RequestHeads.setOriginForm(request);
        head = request;
        headBytes = RequestHeads.heldBytes(request);
        headTimerRunning = false;
        headNanos = System.nanoTime();
        body = new RequestBody(service.bodyMemory(), context.alloc());
        long length = HttpUtil.getContentLength(request, 0L);
        if (length > limits().maxBodyBytes()) {
            refuseWhileReading(RefusalReason.BODY_LIMIT, "announced " + length);
            return;
        }
        if (!reserveBody(() -> body.reserve(length), length)) {
            refuseWhileReading(RefusalReason.NODE_OVERLOADED);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
        long bodyTimeoutMillis = limits().headerTimeoutMillis() * 2;
        schedule(bodyTimeoutMillis, () -> refuseWhileReading(RefusalReason.BODY_TOO_SLOW));
    }

    private void onContent(HttpContent content) {
        int size = content.content().readableBytes();
        if (body.bytes().readableBytes() + size > limits().maxBodyBytes()) {
            refuseWhileReading(
                    RefusalReason.BODY_LIMIT, "received " + (body.bytes().readableBytes() + size));
            return;
        }
        long needed = (long) body.bytes().readableBytes() + size;
        if (!reserveBody(() -> body.append(content.content()), needed)) {
            refuseWhileReading(RefusalReason.NODE_OVERLOADED);
            return;
        }
        if (content instanceof LastHttpContent) {
            start();
        }
    }

    private void start() {
        cancelTimer();
        HttpRequest request = head;
        RequestBody content = body;
        head = null;
        body = null;
        exchange = new EntryExchange(service, this, context, request, content, headNanos);
        exchange.start();
    }

    /** Called when the exchange has written its whole answer or aborted the connection. */
    void exchangeEnded(boolean keepConnection) {
        exchange = null;
        headBytes = 0;
        if (!keepConnection) {
            closing = true;
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        awaitRequest();
        while (exchange == null && !pipelined.isEmpty() && !closing) {
            handle(pipelined.remove());
        }
        if (pipelineCut && exchange == null && !closing) {
            refuseWhileReading(RefusalReason.NODE_OVERLOADED);
        }
        updateAccount();
        if (answerUnread()) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> updateAccount());
        }
    }

    /** Closes the connection unless a request is being read or answered. */
    void closeIfIdle() {
        if (exchange == null && head == null && !closing) {
            closing = true;
            // Flushes first: a slow caller may not have received its last answer yet.
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Refuses the in-flight request if it waits for a target for which there is no time left. */
    void refuseIfWaiting() {
        if (exchange != null) {
            exchange.refuseIfWaiting();
        }
    }

    /** Ends the in-flight request, if there is one, because the process exits. */
    void endRequest() {
        if (exchange != null) {
            exchange.handle(new ExchangeEvent.Stopped());
        }
    }

    private void awaitRequest() {
        headTimerRunning = false;
        schedule(limits().idleTimeoutMillis(), () -> context.close());
    }

    private void malformed(Throwable cause) {
        refuseWhileReading(
                cause instanceof TooLongFrameException
                        ? RefusalReason.HEADER_LIMIT
                        : RefusalReason.BAD_FRAMING,
                String.valueOf(cause.getMessage()));
    }

    private void refuseWhileReading(RefusalReason reason) {
        refuseWhileReading(reason, "");
    }

    private void refuseWhileReading(RefusalReason cause, String detail) {
        closing = true;
        // A node without a configuration does not know what is allowed.
        RefusalReason reason =
                ofConfiguredLimit(cause) && service.configuration().isEmpty()
                        ? RefusalReason.NO_PRESET
                        : cause;
        service.events()
                .entryFinished(
                        reason.label(),
                        0,
                        "id",
                        head == null ? null : head.headers().get(service.names().requestId()),
                        "phase",
                        "reading",
                        "status",
                        reason.status(),
                        "cause",
                        LogText.shorten(detail),
                        "target",
                        head == null ? "" : LogText.shorten(head.uri()),
                        "config",
                        service.configuration().map(TrafficConfiguration::version).orElse(0L));
        releaseBody();
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(reason.status()),
                        Unpooled.EMPTY_BUFFER);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (reason.retryAfter()) {
            double seconds = MIN_RETRY_AFTER_SECONDS * (1 + service.randomFraction());
            response.headers()
                    .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", seconds));
        }
        schedule(MAX_DISCARD_MILLIS, () -> context.close());
        context.writeAndFlush(response).addListener(done -> endOutput());
        // What the connection held is free now.
        updateAccount();
    }

    private static boolean ofConfiguredLimit(RefusalReason reason) {
        return reason == RefusalReason.HEADER_LIMIT || reason == RefusalReason.BODY_LIMIT;
    }

    /** Tells the caller that nothing follows; it closes the connection when it has read that. */
    private void endOutput() {
        if (context.channel() instanceof SocketChannel socket && socket.isActive()) {
            socket.shutdownOutput();
        }
    }

    private TrafficConfiguration.CallerLimits limits() {
        return service.limits();
    }

    private void schedule(long millis, Runnable task) {
        cancelTimer();
        timer = service.loop().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
        head = null;
        headBytes = 0;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ignored) {
        if (exchange != null) {
            exchange.writabilityChanged(context.channel().isWritable());
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext own, Object event) {
        if (event instanceof RequestDecoder.LateId late) {
            service.events().anomaly("refused_request_id", "id", late.id());
        }
        own.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        service.callers().disconnected(this, holding);
        cancelTimer();
        releaseBody();
        pipelined.clear();
        if (exchange != null) {
            exchange.callerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        if (cause instanceof IOException) {
            context.close();
            return;
        }
        service.events().unexpected("caller_connection", cause);
        if (exchange != null) {
            exchange.failUnexpectedly();
        } else if (!closing) {
            refuseWhileReading(RefusalReason.INTERNAL_ERROR);
        }
    }
}
