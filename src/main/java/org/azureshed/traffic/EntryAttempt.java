package org.azureshed.traffic;

import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.azureshed.directory.NodeEntry;
import org.azureshed.dispatch.ExchangeEffect;
import org.azureshed.dispatch.ExchangeEvent;
import org.azureshed.dispatch.HostRefusal;
import org.azureshed.dispatch.Organisation;
import org.azureshed.model.RefusalReason;

/**
 * One attempt of a request: offers it to the host side of a node. The body is sent only after the
 * host side has reserved a slot; until then the request cannot run and may be offered elsewhere.
 */
final class EntryAttempt implements CallListener {
    /** Timeout of an offer. A host side that is up responds within a few milliseconds. */
    private static final long OFFER_TIMEOUT_MILLIS = 250;

    /** Larger answers are streamed to the caller; a failure can then no longer be retried. */
    private static final int MAX_BUFFERED_ANSWER_BYTES = 1 << 20;

    /** Longer than any queue; keeps arithmetic on waits in range. */
    private static final long MAX_WAIT_MILLIS = 3_600_000;

    private final EntryExchange exchange;
    private final int number;
    private final NodeEntry node;
    private final ExchangeEffect.Offer offer;
    private ClientConnection connection;
    private ScheduledFuture<?> timer;
    private boolean admitted;
    private boolean ended;

    /** Whether {@link #buffered} holds the whole answer. */
    private boolean complete;

    /** Whether the answer is forwarded while it arrives. */
    private boolean streaming;

    private HttpResponse response;

    /** Value of {@link OutcomeHeaders#OUTCOME}; empty until the response arrives. */
    private String outcome = "";

    private ByteBuf buffered;

    EntryAttempt(EntryExchange exchange, ExchangeEffect.Offer offer) {
        this.exchange = exchange;
        this.offer = offer;
        this.number = offer.attempt();
        this.node = offer.node();
    }

    HttpResponse response() {
        return response;
    }

    boolean complete() {
        return complete;
    }

    /** Returns the buffered part of the answer; the caller must release it. */
    ByteBuf takeBuffered() {
        ByteBuf taken = buffered;
        buffered = null;
        return taken;
    }

    void start() {
        timer =
                exchange.service()
                        .loop()
                        .schedule(this::offerTimedOut, OFFER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        connection =
                exchange.service().nodeConnections().acquire(node.address(), Long.MAX_VALUE, this);
    }

    void setAutoRead(boolean enabled) {
        if (connection != null && !ended) {
            connection.setAutoRead(enabled);
        }
    }

    void cancel() {
        if (!ended) {
            ended = true;
            timer.cancel(false);
            if (connection != null) {
                connection.cancel();
            }
        }
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
    }

    @Override
    public void connected(ClientConnection connected) {
        connection = connected;
        HttpRequest request = exchange.request();
        DefaultHttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
        ForwardedHeaders.copy(request.headers(), head.headers());
        boolean hasBody =
                request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                        || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        HeaderNames names = exchange.service().names();
        head.headers()
                .remove(names.expectedInstance())
                .remove(names.deadline())
                .remove(names.key())
                .remove(names.organisation())
                .set(names.callerService(), exchange.service().localService())
                .set(
                        OfferHeader.NAME,
                        new OfferHeader(
                                        node.target().orElseThrow().id(),
                                        offer.mode(),
                                        exchange.origin(),
                                        exchange.priority(),
                                        exchange.route().repeatable(),
                                        exchange.sentBefore(),
                                        exchange.retryInduced(),
                                        exchange.route().name(),
                                        exchange.organisation().map(Organisation::name).orElse(""),
                                        exchange.softDeadlineMillisLeft(),
                                        exchange.millisLeft(),
                                        hasBody,
                                        exchange.body().readableBytes())
                                .encode())
                .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        exchange.organisation()
                .ifPresent(
                        organisation ->
                                head.headers().set(names.organisation(), organisation.name()));
        connection.write(head);
        connection.flush();
    }

    @Override
    public void informational(int status) {
        if (ended) {
            return;
        }
        timer.cancel(false);
        exchange.service().paths().responded(node.name());
        if (status == HttpResponseStatus.CONTINUE.code() && !admitted) {
            admitted = true;
            exchange.handle(new ExchangeEvent.Admitted(number));
            if (!ended) {
                connection.write(new DefaultLastHttpContent(exchange.body().retainedSlice()));
                connection.flush();
            }
        }
    }

    @Override
    public boolean head(HttpResponse head) {
        if (ended) {
            return true;
        }
        timer.cancel(false);
        exchange.service().paths().responded(node.name());
        response = head;
        outcome = head.headers().get(OutcomeHeaders.OUTCOME, "");
        if (outcome.equals(OutcomeHeaders.COMPLETED) && !ownAnswer(head)) {
            connection.cancel();
            failed(CallFailure.MALFORMED);
            return true;
        }
        if (!admitted) {
            // Completes the refused request without its body, so that the connection can be reused.
            connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
            connection.flush();
        }
        return true;
    }

    /**
     * Whether an answer can belong to this request: the host side sends it after the whole body,
     * and a success always has the request's identifier.
     */
    private boolean ownAnswer(HttpResponse head) {
        HeaderNames names = exchange.service().names();
        String id = exchange.request().headers().get(names.requestId(), "");
        String echoed = head.headers().get(names.requestId());
        boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
        String anomaly =
                !connection.requestWritten()
                        ? "early_answer"
                        : (echoed == null ? success : !echoed.equals(id)) ? "foreign_answer" : "";
        if (!anomaly.isEmpty()) {
            exchange.service()
                    .events()
                    .anomaly(
                            anomaly,
                            "id",
                            id,
                            "echoed",
                            echoed,
                            "status",
                            head.status().code(),
                            "host",
                            node.name());
        }
        return anomaly.isEmpty();
    }

    @Override
    public void content(ByteBuf data) {
        if (ended || !outcome.equals(OutcomeHeaders.COMPLETED)) {
            return;
        }
        if (streaming) {
            exchange.forwardPart(this, data);
            return;
        }
        if (buffered == null) {
            buffered = data.alloc().buffer(data.readableBytes());
        }
        buffered.writeBytes(data);
        if (buffered.readableBytes() > MAX_BUFFERED_ANSWER_BYTES) {
            streaming = true;
            reportAnswer();
        }
    }

    @Override
    public void end() {
        if (ended) {
            return;
        }
        if (streaming) {
            ended = true;
            exchange.streamEnded(this, true);
            return;
        }
        ended = true;
        String reason = response.headers().get(OutcomeHeaders.REASON, "");
        switch (outcome) {
            case OutcomeHeaders.COMPLETED -> {
                complete = true;
                if (buffered == null) {
                    buffered = io.netty.buffer.Unpooled.EMPTY_BUFFER;
                }
                reportAnswer();
            }
            case OutcomeHeaders.NOT_RUN -> {
                exchange.appendToTrail(node.name(), reason);
                HostRefusal refusal = parseRefusal(reason);
                exchange.service().hints().refused(node.name(), refusal, System.nanoTime());
                exchange.handle(new ExchangeEvent.Refused(number, refusal));
            }
            case OutcomeHeaders.SHED -> {
                exchange.appendToTrail(node.name(), "shed");
                exchange.handle(new ExchangeEvent.Shed(number, RefusalReason.TARGET_SHED));
            }
            default -> {
                exchange.appendToTrail(node.name(), "lost/" + reason);
                exchange.handle(new ExchangeEvent.OutcomeUnknown(number));
            }
        }
    }

    private void reportAnswer() {
        int status = response.status().code();
        boolean slow = response.headers().contains(OutcomeHeaders.SLOW);
        exchange.service().hints().answered(node.name(), slow, System.nanoTime());
        exchange.appendToTrail(node.name(), Integer.toString(status));
        exchange.handle(new ExchangeEvent.Answered(number, status));
    }

    private HostRefusal parseRefusal(String reason) {
        Long waitMillis = Longs.tryParse(response.headers().get(OutcomeHeaders.WAIT, "0"));
        return new HostRefusal(
                RefusalReason.parse(reason).orElse(RefusalReason.NODE_OVERLOADED),
                waitMillis == null ? 0 : Math.clamp(waitMillis, 0, MAX_WAIT_MILLIS),
                response.headers().contains(OutcomeHeaders.SUSPECT));
    }

    @Override
    public void failed(CallFailure failure) {
        if (ended) {
            return;
        }
        ended = true;
        timer.cancel(false);
        if (streaming) {
            exchange.streamEnded(this, false);
            return;
        }
        exchange.appendToTrail(node.name(), failure.name());
        if (failure == CallFailure.NOT_CONNECTED) {
            exchange.service().paths().failed(node.name(), System.nanoTime());
        }
        exchange.handle(
                admitted
                        ? new ExchangeEvent.OutcomeUnknown(number)
                        : new ExchangeEvent.PathFailed(number));
    }

    private void offerTimedOut() {
        if (ended || admitted) {
            return;
        }
        ended = true;
        connection.cancel();
        exchange.appendToTrail(node.name(), "no-response");
        exchange.service().paths().failed(node.name(), System.nanoTime());
        exchange.handle(new ExchangeEvent.PathFailed(number));
    }
}
