package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.azureshed.directory.NodeEntry;
import org.azureshed.dispatch.ExchangeEffect;
import org.azureshed.dispatch.ExchangeEvent;
import org.azureshed.dispatch.HostRefusal;
import org.azureshed.model.RefusalReason;

/**
 * One offer of a request to another node. The body follows only after the host side has reserved a
 * slot; until then the request cannot run, and another node may be offered it.
 */
final class EntryAttempt implements CallListener {
    /** A host side that is up responds to an offer within a few milliseconds. */
    private static final long OFFER_MILLIS = 250;

    /** Larger answers are passed on while they arrive; a failure can then no longer be retried. */
    private static final int MAX_BUFFERED_ANSWER_BYTES = 1 << 20;

    private final EntryExchange exchange;
    private final int number;
    private final NodeEntry node;
    private final ExchangeEffect.Offer offer;
    private ClientCall call;
    private ScheduledFuture<?> timer;
    private boolean admitted;
    private boolean ended;
    private boolean complete;
    private boolean streaming;
    private HttpResponse response;
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

    /** Hands the buffered part of the answer over to the caller of this method. */
    ByteBuf takeBuffered() {
        ByteBuf taken = buffered;
        buffered = null;
        return taken;
    }

    void start() {
        timer =
                exchange.service()
                        .loop()
                        .schedule(this::offerTimedOut, OFFER_MILLIS, TimeUnit.MILLISECONDS);
        call = exchange.service().nodeConnections().call(node.address(), Long.MAX_VALUE, this);
    }

    void reading(boolean enabled) {
        if (call != null && !ended) {
            call.reading(enabled);
        }
    }

    void cancel() {
        if (!ended) {
            ended = true;
            timer.cancel(false);
            if (call != null) {
                call.cancel();
            }
        }
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
    }

    @Override
    public void connected() {
        // A kept connection reports back before start() has returned.
        exchange.service().loop().execute(this::sendHead);
    }

    private void sendHead() {
        if (ended) {
            return;
        }
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
                .set(names.callerService(), exchange.service().localService())
                .set(
                        OfferHeader.NAME,
                        new OfferHeader(
                                        node.target().orElseThrow().id(),
                                        offer.mode(),
                                        exchange.origin(),
                                        exchange.route().priority(),
                                        exchange.route().repeatable(),
                                        exchange.sentBefore(),
                                        exchange.derived(),
                                        exchange.usefulMillisLeft(),
                                        exchange.millisLeft(),
                                        hasBody)
                                .encode())
                .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        call.write(head);
        call.flush();
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
                call.write(new DefaultLastHttpContent(exchange.body().retainedSlice()));
                call.flush();
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
        if (!admitted) {
            // Ends the refused request without its body, so that the connection can be kept.
            call.write(LastHttpContent.EMPTY_LAST_CONTENT);
            call.flush();
        }
        return true;
    }

    @Override
    public void content(ByteBuf data) {
        if (ended || !outcome.equals(OutcomeHeaders.COMPLETED)) {
            return;
        }
        if (streaming) {
            exchange.streamed(this, data);
            return;
        }
        if (buffered == null) {
            buffered = data.alloc().buffer(data.readableBytes());
        }
        buffered.writeBytes(data);
        if (buffered.readableBytes() > MAX_BUFFERED_ANSWER_BYTES) {
            streaming = true;
            answered();
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
                answered();
            }
            case OutcomeHeaders.NOT_RUN -> {
                exchange.note(node.name(), reason);
                HostRefusal refusal = refusal(reason);
                exchange.service().hints().refused(node.name(), refusal, System.nanoTime());
                exchange.handle(new ExchangeEvent.Refused(number, refusal));
            }
            case OutcomeHeaders.SHED -> {
                exchange.note(node.name(), "shed");
                exchange.handle(new ExchangeEvent.Shed(number, RefusalReason.TARGET_SHED));
            }
            default -> {
                exchange.note(node.name(), "lost/" + reason);
                exchange.handle(new ExchangeEvent.OutcomeUnknown(number));
            }
        }
    }

    private void answered() {
        int status = response.status().code();
        boolean slow = response.headers().contains(OutcomeHeaders.SLOW);
        exchange.service().hints().answered(node.name(), slow, System.nanoTime());
        exchange.note(node.name(), Integer.toString(status));
        exchange.handle(new ExchangeEvent.Answered(number, status));
    }

    private HostRefusal refusal(String reason) {
        String wait = response.headers().get(OutcomeHeaders.WAIT, "0");
        return new HostRefusal(
                RefusalReason.parse(reason).orElse(RefusalReason.NODE_OVERLOADED),
                wait.chars().allMatch(Character::isDigit) ? Long.parseLong(wait) : 0,
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
        exchange.note(node.name(), failure.name());
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
        call.cancel();
        exchange.note(node.name(), "no-response");
        exchange.service().paths().failed(node.name(), System.nanoTime());
        exchange.handle(new ExchangeEvent.PathFailed(number));
    }
}
