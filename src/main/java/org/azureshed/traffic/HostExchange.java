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
 * One offered request at the host side: reserves a slot, invites the entry side to send the body,
 * and forwards the request to the target once the body is complete.
 */
final class HostExchange implements CallListener {
    /** Longest time from the reservation of a slot to the end of the request's body. */
    private static final long RESERVATION_MILLIS = 600;

    /**
     * Time after the deadline during which the target may still complete its answer; then the call
     * is aborted.
     */
    private static final long DEADLINE_GRACE_MILLIS = 120;

    /**
     * Longest idle time of a reused connection for a request that must not run twice. The target
     * may close a connection that was idle for longer at any moment, and the outcome would then be
     * unknown.
     */
    private static final long MAX_IDLE_FOR_NON_REPEATABLE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * A run that is aborted without an answer counts as failed if it took longer than this multiple
     * of the mean run time, and than {@link #MIN_HANG_NANOS}.
     */
    private static final double HANG_FACTOR = 4;

    private static final long MIN_HANG_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Refusal of a request for whose body there is no memory. */
    static final AdmissionDecision.Refused NO_MEMORY =
            new AdmissionDecision.Refused(new HostRefusal(RefusalReason.NODE_OVERLOADED, 0, false));

    private final HostService service;
    private final ChannelHandlerContext context;
    private final HttpRequest request;
    private final OfferHeader offer;
    private final OfferedRequest offered;
    private final long startNanos = System.nanoTime();
    private final RequestBody body;
    private ClientConnection targetConnection;
    private ScheduledFuture<?> timer;
    private boolean bodyComplete;
    private boolean admittedOrQueued;

    /** Whether a slot is reserved. */
    private boolean admitted;

    /** Whether the request was written to the connection to the target, at least in part. */
    private boolean sent;

    private boolean responseStarted;

    /** Checks the body of an answer that only the end of its connection ends; otherwise null. */
    private CopyDetector copyDetector;

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
        this.body = new RequestBody(service.bodyMemory(), context.alloc());
        this.offered =
                new OfferedRequest(
                        service.newId(),
                        offer.targetId(),
                        offer.mode(),
                        offer.origin(),
                        offer.priority(),
                        offer.repeatable(),
                        offer.retry(),
                        offer.retryInduced(),
                        offer.route(),
                        offer.organisation(),
                        startNanos + TimeUnit.MILLISECONDS.toNanos(offer.softDeadlineMillis()),
                        startNanos + TimeUnit.MILLISECONDS.toNanos(offer.leftMillis()));
    }

    OfferedRequest offered() {
        return offered;
    }

    /** Length of the body that the entry side has announced. */
    int bodyBytes() {
        return offer.bodyBytes();
    }

    boolean done() {
        return done;
    }

    /** Whether the target has the request and has not begun to answer it. */
    boolean awaitsAnswer() {
        return !done && !responseStarted && runStartNanos != 0;
    }

    long runStartNanos() {
        return runStartNanos;
    }

    /** Handles the gate's decision, made at once or after queueing. */
    void onDecision(AdmissionDecision decision) {
        if (done) {
            return;
        }
        switch (decision) {
            case AdmissionDecision.Admitted ignored -> {
                admittedOrQueued = true;
                if (!body.reserve(offer.bodyBytes())) {
                    // The memory was free when the request was queued.
                    refuse(NO_MEMORY.refusal());
                    return;
                }
                admitted = true;
                writeInterim(HttpResponseStatus.CONTINUE);
                schedule(RESERVATION_MILLIS, this::reservationExpired);
            }
            case AdmissionDecision.Queued ignored -> {
                admittedOrQueued = true;
                writeInterim(HttpResponseStatus.PROCESSING);
            }
            case AdmissionDecision.Refused refused -> refuse(refused.refusal());
        }
    }

    void bodyPart(ByteBuf part, boolean last) {
        if (done) {
            return;
        }
        if (!body.append(part)) {
            // Longer than announced, and perhaps without end.
            refuse(NO_MEMORY.refusal());
            context.close();
            return;
        }
        if (last && admitted) {
            bodyComplete = true;
            run();
        }
    }

    /** Aborts the call to the target, because the entry side has disconnected. */
    void cancelled() {
        if (!done) {
            if (targetConnection != null) {
                targetConnection.cancel();
            }
            finish("cancelled", resultWithoutResponse());
        }
    }

    void writabilityChanged(boolean writable) {
        // After its end the connection may already carry another call.
        if (!done && targetConnection != null && responseStarted) {
            targetConnection.setAutoRead(writable);
        }
    }

    private void run() {
        long left = millisLeft();
        if (left <= 0) {
            refuse(new HostRefusal(RefusalReason.DEADLINE_EXCEEDED, 0, false));
            return;
        }
        runStartNanos = System.nanoTime();
        schedule(left + DEADLINE_GRACE_MILLIS, this::deadlinePassed);
        targetConnection =
                service.callTarget(
                        offer.repeatable() ? Long.MAX_VALUE : MAX_IDLE_FOR_NON_REPEATABLE_NANOS,
                        requestId(),
                        this);
    }

    private String requestId() {
        return request.headers().get(service.names().requestId(), "");
    }

    private long millisLeft() {
        return TimeUnit.NANOSECONDS.toMillis(offered.deadlineNanos() - System.nanoTime());
    }

    @Override
    public void connected(ClientConnection connection) {
        targetConnection = connection;
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
            forwarded.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.bytes().readableBytes());
        }
        sent = true;
        connection.write(forwarded);
        connection.write(new DefaultLastHttpContent(body.bytes().retainedSlice()));
        connection.flush();
    }

    @Override
    public boolean head(HttpResponse response) {
        String expected = requestId();
        String echoed = response.headers().get(service.names().requestId());
        if (echoed != null && !echoed.equals(expected)) {
            service.events()
                    .anomaly(
                            "foreign_answer",
                            "id",
                            expected,
                            "echoed",
                            echoed,
                            "status",
                            response.status().code());
            if (targetConnection.hasCarried(echoed)) {
                return false;
            }
            // No late copy, so that the answer to this request may never come.
            targetConnection.cancel();
            fail("foreign answer");
            return true;
        }
        if (echoed == null) {
            // A copy of this response could not be told from the response to a later request.
            targetConnection.forbidReuse();
        }
        status = response.status().code();
        if (done) {
            return true;
        }
        if (response.headers().contains(service.names().notExecuted())
                || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            targetConnection.endCall();
            respond(OutcomeHeaders.SHED, "status_" + status);
            finish("shed", status == 421 ? RunResult.NEUTRAL : RunResult.FAILURE);
        } else if (!isGenuine(response, echoed)) {
            targetConnection.cancel();
            fail("not a genuine answer: status " + status);
        } else {
            startResponse(response);
        }
        return true;
    }

    /**
     * Whether the response is a genuine answer of the target. A success must have the target's
     * signature, the request's id and no content encoding; it may come before the end of a long
     * body. A 408, 429 or 503 is not an answer, because it leaves open whether the request ran.
     * Responses that state that it did not run are handled before.
     */
    private boolean isGenuine(HttpResponse response, String echoed) {
        boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success) {
            return echoed != null
                    && response.headers().contains(service.names().signature())
                    && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
        }
        return status != 429 && status != 503 && status != 408;
    }

    private void startResponse(HttpResponse response) {
        responseStarted = true;
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
        } else if (ResponseHeads.mayHaveBody(request.method(), response.status())) {
            forwarded.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            if (!response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
                copyDetector = new CopyDetector(service.names().requestId(), requestId());
            }
        }
        context.write(forwarded);
    }

    @Override
    public void content(ByteBuf data) {
        if (!done && responseStarted) {
            if (copyDetector != null && copyDetector.found(data)) {
                service.events().anomaly("second_answer_in_body", "id", requestId());
                targetConnection.cancel();
                fail("second answer in the body");
                return;
            }
            context.writeAndFlush(new DefaultHttpContent(data.retain()));
            if (!context.channel().isWritable()) {
                targetConnection.setAutoRead(false);
            }
        }
    }

    @Override
    public void end() {
        if (!done && responseStarted) {
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
        if (!sent) {
            respond(OutcomeHeaders.NOT_RUN, RefusalReason.TARGET_UNREACHABLE.label());
            finish("target-unreachable", RunResult.FAILURE);
            if (failure == CallFailure.NOT_CONNECTED) {
                service.targetCrashed();
            }
        } else {
            if (failure == CallFailure.CLOSED) {
                service.connectionBroke(fingerprint());
            }
            fail(failure.name());
        }
    }

    private RequestFingerprint fingerprint() {
        return Fingerprints.of(
                request.headers().get(service.names().callerService(), ""), request, body.bytes());
    }

    private void fail(String cause) {
        if (responseStarted) {
            context.close();
        } else {
            respond(OutcomeHeaders.UNKNOWN, cause);
        }
        finish(cause, RunResult.BROKEN);
    }

    private void deadlinePassed() {
        if (!done) {
            targetConnection.cancel();
            if (responseStarted) {
                context.close();
            } else {
                respond(OutcomeHeaders.UNKNOWN, "limit passed");
            }
            finish("limit-passed", resultWithoutResponse());
        }
    }

    private void reservationExpired() {
        if (!done && !bodyComplete) {
            context.close();
            finish("reservation-expired", RunResult.NEUTRAL);
        }
    }

    /**
     * Returns the result of an aborted exchange: a failure if the target ran the request for long
     * without starting a response, otherwise neutral.
     */
    private RunResult resultWithoutResponse() {
        if (runStartNanos == 0 || responseStarted) {
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

    private void respond(String outcome, String reason) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.BAD_GATEWAY,
                        Unpooled.EMPTY_BUFFER);
        response.headers().set(OutcomeHeaders.OUTCOME, outcome).set(OutcomeHeaders.REASON, reason);
        write(response);
    }

    private void write(FullHttpResponse response) {
        // No Connection: close, as the entry side completes a refused request without its body.
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        context.writeAndFlush(response);
    }

    private void writeInterim(HttpResponseStatus interim) {
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
            "conn_requests",
            targetConnection == null ? 0 : targetConnection.requests(),
            "running",
            service.gate().runningCount(),
            "waiting",
            service.gate().waitingCount()
        };
        if (admittedOrQueued) {
            service.events().hostFinished(outcome, now - startNanos, inputs);
        } else {
            service.events().offerRefused(outcome, now - startNanos, inputs);
        }
        service.finished(this, result, runNanos);
    }
}
