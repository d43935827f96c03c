package org.azureshed.proxy;

import io.vavr.control.Either;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.azureshed.admission.Admission;
import org.azureshed.admission.Decision;
import org.azureshed.admission.Pending;
import org.azureshed.admission.Refusal;
import org.azureshed.admission.Request;
import org.azureshed.admission.Ticket;
import org.azureshed.admission.TicketResult;
import org.azureshed.control.ControlLoop;
import org.azureshed.control.Snapshot;
import org.azureshed.ejection.HostMeter;
import org.azureshed.ejection.TargetDigest;
import org.azureshed.idempotency.KeyTiming;
import org.azureshed.idempotency.PermitClock;
import org.azureshed.idempotency.PermitClock.StartBy;
import org.azureshed.model.Outcome;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.RequestClass;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.UnknownCause;
import org.azureshed.poison.RequestFingerprint;
import org.azureshed.telemetry.EventLog;
import org.azureshed.telemetry.FleetMetrics;
import org.azureshed.telemetry.FleetMetrics.Side;

/** Host side: forwards requests to the targets of its VM. All requests to them pass through it. */
@Singleton
final class HostHandler {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int FULL_WEIGHT_PERCENT = 100;

    /** Used for a class that the preset of this node does not define, or not yet. */
    private static final RequestClass UNKNOWN_CLASS =
            new RequestClass("unknown", false, false, 30_000, 1_000, 0);

    private final ControlLoop control;
    private final Admission admission;
    private final FleetMetrics metrics;
    private final ExchangeMonitor monitor;
    private final HostClock clock;
    private final HostMeter meter;
    private final CrashDetector crashes;
    private final DigestFeed digests;
    private final ForwardClient client;
    private final PermitClock permitClock = new PermitClock(KeyTiming.STANDARD);

    @Inject
    HostHandler(
            ControlLoop control,
            Admission admission,
            FleetMetrics metrics,
            ExchangeMonitor monitor,
            HostClock clock,
            HostMeter meter,
            CrashDetector crashes,
            DigestFeed digests) {
        this.digests = digests;
        this.crashes = crashes;
        this.meter = meter;
        this.control = control;
        this.admission = admission;
        this.metrics = metrics;
        this.monitor = monitor;
        this.clock = clock;
        this.client =
                new ForwardClient(
                        RefusalReason.TARGET_UNREACHABLE, UnknownCause.TARGET_CONNECTION_LOST);
    }

    /** A request of an entry side with its decoded internal headers. */
    private record Call(
            HttpServletRequest request,
            HttpServletResponse response,
            String exchange,
            TargetInfo target,
            Request admissionRequest,
            long startNanos) {
        long spentMicros() {
            return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
        }

        Duration timeLeft() {
            return Duration.ofNanos(admissionRequest.deadlineNanos() - System.nanoTime());
        }
    }

    void handle(HttpServletRequest request, HttpServletResponse response) throws IOException {
        long start = System.nanoTime();
        if (request.getHeader(InternalHeaders.CLOCK) != null) {
            StartBy now = new StartBy(Long.toString(clock.bootId()), clock.millis());
            response.setHeader(InternalHeaders.CLOCK, StartByHeader.encode(now));
            return;
        }
        String exchange = request.getHeader(InternalHeaders.EXCHANGE);
        String targetId = request.getHeader(InternalHeaders.TARGET);
        long deadlineMillis = longHeader(request, InternalHeaders.DEADLINE_MS);
        if (exchange == null || targetId == null || deadlineMillis < 0) {
            refuse(response, RefusalReason.BAD_HEADER, 0);
            return;
        }
        response.setHeader(InternalHeaders.EXCHANGE, exchange);
        Snapshot snapshot = control.snapshot();
        Optional<TargetInfo> target = snapshot.hosted(new TargetId(targetId));
        if (target.isEmpty()) {
            refuse(response, RefusalReason.TARGET_UNKNOWN, 0);
            return;
        }
        Request admissionRequest =
                new Request(
                        target.get().id(),
                        requestClass(snapshot, request),
                        header(request, InternalHeaders.ROUTE),
                        header(request, InternalHeaders.ORGANISATION),
                        start + TimeUnit.MILLISECONDS.toNanos(deadlineMillis));
        admit(new Call(request, response, exchange, target.get(), admissionRequest, start));
        metrics.observeDuration(Side.HOST, System.nanoTime() - start);
    }

    private static RequestClass requestClass(Snapshot snapshot, HttpServletRequest request) {
        String name = header(request, InternalHeaders.CLASS);
        return snapshot.active()
                .map(active -> active.preset().classes().get(name))
                .orElse(UNKNOWN_CLASS);
    }

    /**
     * Acquires a slot and forwards the request. A body that fits into the buffer is read before, so
     * a slow sender occupies no slot. A larger body is read after admission: the entry side waits
     * for the admission decision before it sends the body.
     */
    private void admit(Call call) throws IOException {
        boolean admitBeforeBody = call.request().getHeader(HttpHeaders.EXPECT) != null;
        RequestBody body = admitBeforeBody ? null : read(call);
        switch (awaitSlot(call)) {
            case Refusal(RefusalReason reason, long retryAfterMillis) -> {
                addLoadHeader(call);
                refuse(call.response(), reason, retryAfterMillis);
            }
            case Ticket ticket -> {
                TicketResult result = TicketResult.FAILED;
                try {
                    result = forward(call, body == null ? read(call) : body);
                } finally {
                    ticket.close(result, System.nanoTime());
                }
            }
        }
    }

    private Decision awaitSlot(Call call) {
        Pending pending = admission.admit(call.admissionRequest(), System.nanoTime());
        try {
            return pending.await(System::nanoTime);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Refusal(RefusalReason.NODE_DRAINING, 0);
        }
    }

    private static RequestBody read(Call call) throws CallerBodyException {
        return RequestBody.read(call.request(), Long.MAX_VALUE);
    }

    private TicketResult forward(Call call, RequestBody body) throws IOException {
        CancellableRequest forwarded =
                Requests.copy(call.request(), HostHandler::isForwardedToTarget);
        forwarded.setHeader(InternalHeaders.DEADLINE_MS, call.timeLeft().toMillis());
        String startBy = call.request().getHeader(InternalHeaders.START_BY);
        if (startBy != null) {
            Either<RefusalReason, Long> deadline = targetDeadline(startBy);
            if (deadline.isLeft()) {
                addLoadHeader(call);
                refuse(call.response(), deadline.getLeft(), 0);
                return TicketResult.NOT_RUN;
            }
            forwarded.setHeader(InternalHeaders.START_BY_EPOCH_MS, deadline.get());
        }
        try (InFlight inFlight = monitor.watch(forwarded, call.request())) {
            return forwardAndDetectCrash(call, forwarded, body, inFlight);
        }
    }

    /** Sends a request to its target and reports a crash of the target while the request runs. */
    private TicketResult forwardAndDetectCrash(
            Call call, CancellableRequest forwarded, RequestBody body, InFlight inFlight)
            throws IOException {
        String fingerprint = header(call.request(), InternalHeaders.FINGERPRINT);
        Optional<RefusalReason> refusal =
                RequestFingerprint.parse(fingerprint)
                        .flatMap(parsed -> crashes.begin(call.target(), call.exchange(), parsed));
        if (refusal.isPresent()) {
            addLoadHeader(call);
            refuse(call.response(), refusal.get(), 0);
            return TicketResult.NOT_RUN;
        }
        try {
            return forwardAndMeasure(call, forwarded, body, inFlight);
        } catch (IOException broken) {
            crashes.checkCrashed(call.target());
            throw broken;
        } finally {
            crashes.end(call.target().id(), call.exchange());
        }
    }

    /** Sends a request and records its service time at the target. */
    private TicketResult forwardAndMeasure(
            Call call, CancellableRequest forwarded, RequestBody body, InFlight inFlight)
            throws IOException {
        String className = call.admissionRequest().requestClass().name();
        long token = meter.started(call.target().id(), className, nowMicros());
        HostMeter.Result meterResult = HostMeter.Result.ERROR;
        try {
            ForwardResult result =
                    client.send(
                            call.target().address(),
                            forwarded,
                            body,
                            false,
                            call.timeLeft(),
                            inFlight);
            switch (result) {
                case ForwardResult.Failed failed -> {
                    meterResult = meterResult(failed.outcome());
                    // Recorded before the answer is written, to exclude the time of a slow caller.
                    meter.finished(token, meterResult, nowMicros());
                    boolean lost =
                            failed.outcome() instanceof Outcome.Unknown(UnknownCause cause)
                                    && cause == UnknownCause.TARGET_CONNECTION_LOST;
                    if (lost && crashes.connectionLost(call.target(), call.exchange())) {
                        call.response().setHeader(InternalHeaders.TARGET_CRASHED, "true");
                    }
                    return fail(call, failed);
                }
                case ForwardResult.Answer(ClassicHttpResponse answer) -> {
                    boolean shed = shed(answer);
                    TicketResult relayed = relay(call, answer, inFlight);
                    meterResult =
                            shed
                                    ? HostMeter.Result.NOT_RUN
                                    : relayed == TicketResult.SUCCEEDED
                                            ? HostMeter.Result.OK
                                            : HostMeter.Result.ERROR;
                    return relayed;
                }
            }
        } catch (IOException broken) {
            // Either the write to the entry side or the read from the target may have failed.
            meterResult = HostMeter.Result.CANCELLED;
            throw broken;
        } finally {
            meter.finished(token, meterResult, nowMicros());
        }
    }

    private static HostMeter.Result meterResult(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Completed completed -> HostMeter.Result.OK;
            case Outcome.NotRun notRun -> HostMeter.Result.NOT_RUN;
            case Outcome.Unknown(UnknownCause cause) ->
                    cause == UnknownCause.CALLER_GONE || cause == UnknownCause.REQUEST_ABORTED
                            ? HostMeter.Result.CANCELLED
                            : HostMeter.Result.ERROR;
        };
    }

    private static long nowMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    /** Whether a header is sent on to the target; some are for the host side only. */
    private static boolean isForwardedToTarget(String header) {
        return !header.equalsIgnoreCase(InternalHeaders.START_BY)
                && !header.equalsIgnoreCase(InternalHeaders.FINGERPRINT);
    }

    /** Checks the start-by time as late as possible and converts it to the target's deadline. */
    private Either<RefusalReason, Long> targetDeadline(String header) {
        // The VM's clock is read first: a pause between the two reads then shortens the deadline.
        long epochMillis = System.currentTimeMillis();
        long now = clock.millis();
        return StartByHeader.parse(header)
                .map(
                        startBy ->
                                permitClock.targetDeadline(
                                        startBy, Long.toString(clock.bootId()), epochMillis, now))
                .orElse(Either.left(RefusalReason.BAD_HEADER));
    }

    private TicketResult relay(Call call, ClassicHttpResponse answer, InFlight inFlight)
            throws IOException {
        try (answer) {
            if (!matchesExchange(call, answer)) {
                inFlight.cancel(UnknownCause.EXCHANGE_MISMATCH);
                Outcome outcome = new Outcome.Unknown(UnknownCause.EXCHANGE_MISMATCH);
                return fail(call, new ForwardResult.Failed(outcome, "answer of another request"));
            }
            if (shed(answer)) {
                Outcome outcome = new Outcome.NotRun(RefusalReason.TARGET_SHED);
                return fail(call, new ForwardResult.Failed(outcome, "target shed the request"));
            }
            HttpServletResponse response = call.response();
            AnswerWriter.copyHead(answer, response, name -> !InternalHeaders.isInternal(name));
            response.setHeader(InternalHeaders.OUTCOME, "completed");
            addLoadHeader(call);
            AnswerWriter.copyBody(answer.getEntity(), response, inFlight, Optional.empty());
            metrics.completed(Side.HOST, answer.getCode());
            return answer.getCode() < FIRST_SERVER_ERROR
                    ? TicketResult.SUCCEEDED
                    : TicketResult.FAILED;
        }
    }

    /** Whether the answer belongs to the request. Targets need not echo the exchange id. */
    private static boolean matchesExchange(Call call, ClassicHttpResponse answer) {
        Header echoed = answer.getFirstHeader(InternalHeaders.EXCHANGE);
        return echoed == null || echoed.getValue().equals(call.exchange());
    }

    private static boolean shed(ClassicHttpResponse answer) {
        return answer.getCode() == SERVICE_UNAVAILABLE
                && answer.containsHeader(InternalHeaders.SHED);
    }

    /** Adds the load header to the answer, and submits the digest of a target in readmission. */
    private void addLoadHeader(Call call) {
        TargetId target = call.target().id();
        Optional<TargetDigest> digest = meter.digest(target, nowMicros());
        // This node decides on the readmission of its targets, but may receive no answers from them
        // as an entry side.
        if (control.snapshot().weightPercent(target) < FULL_WEIGHT_PERCENT) {
            digest.ifPresent(present -> digests.received(call.target().service(), target, present));
        }
        admission
                .report(target, System.nanoTime())
                .map(
                        report ->
                                new LoadHeader(
                                        clock.bootId(),
                                        clock.millis(),
                                        report,
                                        call.spentMicros(),
                                        digest))
                .ifPresent(load -> call.response().setHeader(InternalHeaders.LOAD, load.encode()));
    }

    private TicketResult fail(Call call, ForwardResult.Failed failed) throws IOException {
        EventLog.warning("target_failed")
                .with("exchange", call.exchange())
                .with("target", call.target().id())
                .with("outcome", failed.outcome())
                .with("detail", failed.detail())
                .write();
        addLoadHeader(call);
        return switch (failed.outcome()) {
            case Outcome.NotRun(RefusalReason reason) -> {
                refuse(call.response(), reason, 0);
                yield TicketResult.NOT_RUN;
            }
            case Outcome.Unknown unknown -> {
                metrics.unknown(Side.HOST, unknown.cause());
                AnswerWriter.writeUnknown(call.response(), unknown);
                yield TicketResult.FAILED;
            }
            case Outcome.Completed completed ->
                    throw new IllegalArgumentException("a completed request did not fail");
        };
    }

    private void refuse(HttpServletResponse response, RefusalReason reason, long retryAfterMillis)
            throws IOException {
        metrics.refused(Side.HOST, reason);
        AnswerWriter.writeRefusal(response, reason, retryAfterMillis);
    }

    private static String header(HttpServletRequest request, String name) {
        String value = request.getHeader(name);
        return value == null ? "" : value;
    }

    private static long longHeader(HttpServletRequest request, String name) {
        try {
            return Long.parseLong(header(request, name));
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
