package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
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
import org.azureshed.directory.Condition;
import org.azureshed.dispatch.HostRefusal;
import org.azureshed.host.AdmissionDecision;
import org.azureshed.host.OfferedRequest;
import org.azureshed.host.RunResult;
import org.azureshed.model.RefusalReason;
import org.azureshed.poison.RequestFingerprint;

/**
 * One offered request at the host side: reserves a slot, tells the entry side, receives the body,
 * and only then sends the request to the target.
 */
final class HostExchange implements CallListener {
    /** Longest time from the reservation of a slot to the end of the request's body. */
    private static final long RESERVATION_MILLIS = 600;

    /** Time after the limit in which a target's own late answer is still awaited. */
    private static final long LIMIT_GRACE_MILLIS = 120;

    /** A connection that was idle for longer may be closed by the target at any moment. */
    private static final long FRESH_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A run without an answer that took this many times the usual time counts as a failure. */
    private static final double HANG_FACTOR = 4;

    private static final long MIN_HANG_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private final HostService service;
    private final ChannelHandlerContext context;
    private final HttpRequest request;
    private final OfferHeader offer;
    private final OfferedRequest offered;
    private final long startNanos = System.nanoTime();
    private final ByteBuf body;
    private ClientCall call;
    private ScheduledFuture<?> timer;
    private boolean bodyComplete;
    private boolean accepted;
    private boolean admitted;
    private boolean answering;
    private boolean done;
    private long runStartNanos;
    private int status;

    HostExchange(
            HostService service,
            ChannelHandlerContext context,
            HttpRequest request,
            OfferHeader offer) {
        this.service = service;
        this.context = context;
        this.request = request;
        this.offer = offer;
        this.body = context.alloc().buffer();
        this.offered =
                new OfferedRequest(
                        service.newId(),
                        offer.targetId(),
                        offer.mode(),
                        offer.origin(),
                        offer.priority(),
                        offer.repeatable(),
                        offer.repeat(),
                        offer.derived(),
                        startNanos + TimeUnit.MILLISECONDS.toNanos(offer.usefulMillis()),
                        startNanos + TimeUnit.MILLISECONDS.toNanos(offer.leftMillis()));
    }

    OfferedRequest offered() {
        return offered;
    }

    boolean done() {
        return done;
    }

    /** Receives the gate's decision, at once or after a wait. */
    void settled(AdmissionDecision decision) {
        if (done) {
            return;
        }
        switch (decision) {
            case AdmissionDecision.Admitted ignored -> {
                accepted = true;
                admitted = true;
                interim(HttpResponseStatus.CONTINUE);
                schedule(RESERVATION_MILLIS, this::reservationExpired);
            }
            case AdmissionDecision.Queued ignored -> {
                accepted = true;
                interim(HttpResponseStatus.PROCESSING);
            }
            case AdmissionDecision.Refused refused -> refuse(refused.refusal());
        }
    }

    void bodyPart(ByteBuf part, boolean last) {
        if (done) {
            return;
        }
        body.writeBytes(part);
        if (last && admitted) {
            bodyComplete = true;
            run();
        }
    }

    /** The entry side is gone: stops the work. */
    void cancelled() {
        if (!done) {
            if (call != null) {
                call.cancel();
            }
            finish("cancelled", unansweredResult());
        }
    }

    void writable(boolean writable) {
        if (call != null && answering) {
            call.reading(writable);
        }
    }

    private void run() {
        long left = millisLeft();
        if (left <= 0) {
            refuse(new HostRefusal(RefusalReason.DEADLINE_EXCEEDED, 0, false));
            return;
        }
        runStartNanos = System.nanoTime();
        schedule(left + LIMIT_GRACE_MILLIS, this::limitPassed);
        call = service.callTarget(offer.repeatable() ? Long.MAX_VALUE : FRESH_NANOS, this);
    }

    private long millisLeft() {
        return TimeUnit.NANOSECONDS.toMillis(offered.deadlineNanos() - System.nanoTime());
    }

    @Override
    public void connected() {
        // A kept connection reports back before callTarget has returned.
        service.loop().execute(() -> send(call));
    }

    private void send(ClientCall connection) {
        if (done) {
            return;
        }
        long left = millisLeft();
        if (left <= 0) {
            connection.cancel();
            refuse(new HostRefusal(RefusalReason.DEADLINE_EXCEEDED, 0, false));
            return;
        }
        DefaultHttpRequest forwarded =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
        ForwardedHeaders.copy(request.headers(), forwarded.headers());
        forwarded.headers().set(service.names().deadline(), left);
        forwarded.headers().set(service.names().expectedInstance(), offer.targetId());
        if (offer.hasBody()) {
            forwarded.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        connection.write(forwarded);
        connection.write(new DefaultLastHttpContent(body.retainedSlice()));
        connection.flush();
    }

    @Override
    public boolean head(HttpResponse response) {
        String expected = request.headers().get(service.names().requestId());
        String echoed = response.headers().get(service.names().requestId());
        if (echoed != null && !echoed.equals(expected)) {
            service.events().attemptEnded("foreign_answer", "id", expected, "echoed", echoed);
            return false;
        }
        status = response.status().code();
        if (done) {
            return true;
        }
        if (response.headers().contains(service.names().notExecuted())
                || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            answer(OutcomeHeaders.SHED, "status_" + status);
            finish("shed", status == 421 ? RunResult.NEUTRAL : RunResult.FAILURE);
        } else if (!genuine(response, echoed)) {
            call.cancel();
            fail("not a genuine answer: status " + status);
        } else {
            startAnswer(response);
        }
        return true;
    }

    /** A success without the target's mark, and a refusal that makes no promise, are no answers. */
    private boolean genuine(HttpResponse response, String echoed) {
        boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success) {
            return echoed != null
                    && response.headers().contains(service.names().signature())
                    && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
        }
        return status != 429 && status != 503 && status != 408;
    }

    private void startAnswer(HttpResponse response) {
        answering = true;
        DefaultHttpResponse forwarded =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status());
        ForwardedHeaders.copy(response.headers(), forwarded.headers());
        forwarded.headers().set(OutcomeHeaders.OUTCOME, OutcomeHeaders.COMPLETED);
        if (service.gate().condition(System.nanoTime()) == Condition.SLOW) {
            forwarded.headers().set(OutcomeHeaders.SLOW, "1");
        }
        String length = response.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null) {
            forwarded.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            forwarded.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        context.write(forwarded);
    }

    @Override
    public void content(ByteBuf data) {
        if (!done && answering) {
            context.writeAndFlush(new DefaultHttpContent(data.retain()));
            if (!context.channel().isWritable()) {
                call.reading(false);
            }
        }
    }

    @Override
    public void end() {
        if (!done && answering) {
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            boolean failed = status >= 500 && status != 504;
            finish(
                    "completed",
                    failed
                            ? RunResult.FAILURE
                            : status == 504 ? RunResult.NEUTRAL : RunResult.SUCCESS);
        }
    }

    @Override
    public void failed(CallFailure failure) {
        if (done) {
            return;
        }
        if (failure == CallFailure.NOT_CONNECTED) {
            answer(OutcomeHeaders.NOT_RUN, RefusalReason.TARGET_UNREACHABLE.label());
            finish("target-unreachable", RunResult.FAILURE);
            service.targetCrashed();
        } else {
            if (failure == CallFailure.CLOSED) {
                service.connectionBroke(fingerprint());
            }
            fail(failure.name());
        }
    }

    private RequestFingerprint fingerprint() {
        return Fingerprints.of(
                request.headers().get(service.names().callerService(), ""), request, body);
    }

    private void fail(String cause) {
        if (answering) {
            context.close();
        } else {
            answer(OutcomeHeaders.UNKNOWN, cause);
        }
        finish(cause, RunResult.BROKEN);
    }

    private void limitPassed() {
        if (!done) {
            call.cancel();
            if (answering) {
                context.close();
            } else {
                answer(OutcomeHeaders.UNKNOWN, "limit passed");
            }
            finish("limit-passed", unansweredResult());
        }
    }

    private void reservationExpired() {
        if (!done && !bodyComplete) {
            context.close();
            finish("reservation-expired", RunResult.NEUTRAL);
        }
    }

    private RunResult unansweredResult() {
        if (runStartNanos == 0 || answering) {
            return RunResult.NEUTRAL;
        }
        double hang = Math.max(MIN_HANG_NANOS, HANG_FACTOR * service.gate().runNanos());
        return System.nanoTime() - runStartNanos > hang ? RunResult.FAILURE : RunResult.NEUTRAL;
    }

    private void refuse(HostRefusal refusal) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        Unpooled.EMPTY_BUFFER);
        response.headers()
                .set(OutcomeHeaders.OUTCOME, OutcomeHeaders.NOT_RUN)
                .set(OutcomeHeaders.REASON, refusal.reason().label())
                .set(OutcomeHeaders.WAIT, refusal.waitMillis());
        if (refusal.suspect()) {
            response.headers().set(OutcomeHeaders.SUSPECT, "1");
        }
        write(response);
        finish(refusal.reason().label(), RunResult.NEUTRAL);
    }

    private void answer(String outcome, String reason) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.BAD_GATEWAY,
                        Unpooled.EMPTY_BUFFER);
        response.headers().set(OutcomeHeaders.OUTCOME, outcome).set(OutcomeHeaders.REASON, reason);
        write(response);
    }

    private void write(FullHttpResponse response) {
        // The entry side ends a refused request without its body, so that the connection is kept.
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        context.writeAndFlush(response);
    }

    private void interim(HttpResponseStatus interim) {
        context.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, interim, Unpooled.EMPTY_BUFFER));
    }

    private void schedule(long millis, Runnable task) {
        if (timer != null) {
            timer.cancel(false);
        }
        timer = service.loop().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private void finish(String outcome, RunResult result) {
        done = true;
        if (timer != null) {
            timer.cancel(false);
        }
        body.release();
        long now = System.nanoTime();
        long runNanos = runStartNanos == 0 ? 0 : now - runStartNanos;
        Object[] inputs = {
            "id",
            request.headers().get(service.names().requestId()),
            "target",
            offer.targetId(),
            "mode",
            offer.mode(),
            "origin",
            offer.origin(),
            "status",
            status,
            "run_ms",
            TimeUnit.NANOSECONDS.toMillis(runNanos),
            "running",
            service.gate().runningCount(),
            "waiting",
            service.gate().waitingCount()
        };
        if (accepted) {
            service.events().hostFinished(outcome, now - startNanos, inputs);
        } else {
            service.events().offerRefused(outcome, now - startNanos, inputs);
        }
        service.finished(this, result, runNanos);
    }
}
