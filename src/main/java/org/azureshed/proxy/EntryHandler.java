package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.azureshed.control.ControlLoop;
import org.azureshed.control.Snapshot;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.Outcome;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.RequestClass;
import org.azureshed.model.RetryReason;
import org.azureshed.model.Route;
import org.azureshed.model.TargetId;
import org.azureshed.model.UnknownCause;
import org.azureshed.routing.Candidate;
import org.azureshed.telemetry.EventLog;
import org.azureshed.telemetry.FleetMetrics;
import org.azureshed.telemetry.FleetMetrics.Side;

/** Entry side: routes a caller's request to a target and streams the answer back. */
@Singleton
final class EntryHandler {
    private static final int MAX_ATTEMPTS = 3;
    private static final long RETRY_AFTER_SECONDS = 1;

    private final ControlLoop control;
    private final FleetMetrics metrics;
    private final ForwardClient client;
    private final ExchangeIds exchangeIds;

    @Inject
    EntryHandler(ControlLoop control, FleetMetrics metrics, NodeInfo self) {
        this.control = control;
        this.metrics = metrics;
        this.client =
                new ForwardClient(
                        RefusalReason.NODE_UNREACHABLE, UnknownCause.NODE_CONNECTION_LOST);
        this.exchangeIds = new ExchangeIds(self);
    }

    void handle(HttpServletRequest request, HttpServletResponse response) throws IOException {
        long start = System.nanoTime();
        Snapshot snapshot = control.snapshot();
        if (snapshot.active().isEmpty()) {
            refuse(response, RefusalReason.NO_PRESET);
            return;
        }
        Optional<Route> route =
                snapshot.routes()
                        .find(
                                request.getServerName(),
                                request.getRequestURI(),
                                request.getMethod());
        if (route.isEmpty()) {
            refuse(response, RefusalReason.NO_ROUTE);
            return;
        }
        RequestClass requestClass =
                snapshot.active().get().preset().classes().get(route.get().requestClass());
        RequestBody body =
                RequestBody.read(request.getInputStream(), request.getContentLengthLong());
        Call call = new Call(request, response, snapshot, route.get(), requestClass, body, start);
        run(call);
        metrics.observeDuration(Side.ENTRY, System.nanoTime() - start);
    }

    private record Call(
            HttpServletRequest request,
            HttpServletResponse response,
            Snapshot snapshot,
            Route route,
            RequestClass requestClass,
            RequestBody body,
            long startNanos) {
        Duration timeLeft() {
            long elapsed = System.nanoTime() - startNanos;
            return Duration.ofMillis(requestClass.deadlineMillis()).minusNanos(elapsed);
        }
    }

    private void run(Call call) throws IOException {
        Set<TargetId> tried = new HashSet<>();
        Outcome last = new Outcome.NotRun(RefusalReason.NO_TARGET);
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            if (call.timeLeft().isNegative()) {
                break;
            }
            Optional<Candidate> candidate = pick(call, tried);
            if (candidate.isEmpty()) {
                break;
            }
            tried.add(candidate.get().target().id());
            if (attempt > 1) {
                metrics.retried(
                        last instanceof Outcome.NotRun
                                ? RetryReason.NOT_RUN
                                : RetryReason.IDEMPOTENT_UNKNOWN);
            }
            last = attempt(call, candidate.get(), attempt);
            if (!retryable(call, last)) {
                break;
            }
        }
        finish(call, last);
    }

    private static boolean retryable(Call call, Outcome outcome) {
        return switch (outcome) {
            case Outcome.Completed completed -> false;
            case Outcome.NotRun notRun -> call.body().replayable();
            case Outcome.Unknown unknown ->
                    call.requestClass().idempotent() && call.body().replayable();
        };
    }

    private void finish(Call call, Outcome outcome) throws IOException {
        switch (outcome) {
            case Outcome.Completed(int status) -> metrics.completed(Side.ENTRY, status);
            case Outcome.NotRun(RefusalReason reason) -> refuse(call.response(), reason);
            case Outcome.Unknown unknown -> {
                metrics.unknown(Side.ENTRY, unknown.cause());
                AnswerWriter.unknown(call.response(), unknown);
            }
        }
    }

    private static Optional<Candidate> pick(Call call, Set<TargetId> tried) {
        List<Candidate> ready =
                call.snapshot().candidatesOf(call.route().service()).stream()
                        .filter(Candidate::ready)
                        .filter(candidate -> !tried.contains(candidate.target().id()))
                        .toList();
        return ready.isEmpty()
                ? Optional.empty()
                : Optional.of(ready.get(ThreadLocalRandom.current().nextInt(ready.size())));
    }

    private Outcome attempt(Call call, Candidate candidate, int attempt) throws IOException {
        String exchange = exchangeIds.next();
        ClassicHttpRequest request =
                Requests.copy(
                        call.request(),
                        name -> !InternalHeaders.isInternal(name),
                        call.body().entity());
        request.setHeader(InternalHeaders.EXCHANGE, exchange);
        request.setHeader(InternalHeaders.TARGET, candidate.target().id());
        request.setHeader(InternalHeaders.SERVICE, call.route().service());
        request.setHeader(InternalHeaders.CLASS, call.requestClass().name());
        request.setHeader(InternalHeaders.DEADLINE_MS, call.timeLeft().toMillis());
        request.setHeader(InternalHeaders.ATTEMPT, attempt);
        ForwardResult result = client.send(candidate.node().host(), request, call.timeLeft());
        return switch (result) {
            case ForwardResult.Failed(Outcome outcome, String detail) -> {
                EventLog.warning("forward_failed")
                        .with("exchange", exchange)
                        .with("target", candidate.target().id())
                        .with("outcome", outcome)
                        .with("detail", detail)
                        .write();
                yield outcome;
            }
            case ForwardResult.Answer(ClassicHttpResponse answer) -> relay(call, exchange, answer);
        };
    }

    private Outcome relay(Call call, String exchange, ClassicHttpResponse answer)
            throws IOException {
        try (answer) {
            if (!exchange.equals(value(answer, InternalHeaders.EXCHANGE))) {
                return new Outcome.Unknown(UnknownCause.EXCHANGE_MISMATCH);
            }
            Optional<Outcome> failure = failureOf(answer);
            if (failure.isPresent()) {
                return failure.get();
            }
            HttpServletResponse response = call.response();
            AnswerWriter.copyHead(answer, response, name -> !InternalHeaders.isInternal(name));
            AnswerWriter.copyBody(answer.getEntity(), response);
            return new Outcome.Completed(answer.getCode());
        }
    }

    /** Reads a typed failure that the host side answered with. */
    private static Optional<Outcome> failureOf(ClassicHttpResponse answer) {
        String outcome = value(answer, InternalHeaders.OUTCOME);
        String reason = value(answer, InternalHeaders.REASON);
        return switch (outcome) {
            case "not-run" ->
                    Optional.of(
                            new Outcome.NotRun(
                                    RefusalReason.parse(reason)
                                            .orElse(RefusalReason.NODE_UNREACHABLE)));
            case "unknown" -> Optional.of(new Outcome.Unknown(UnknownCause.TARGET_CONNECTION_LOST));
            default -> Optional.empty();
        };
    }

    private static String value(ClassicHttpResponse answer, String name) {
        Header header = answer.getFirstHeader(name);
        return header == null ? "" : header.getValue();
    }

    private void refuse(HttpServletResponse response, RefusalReason reason) throws IOException {
        metrics.refused(Side.ENTRY, reason);
        AnswerWriter.refuse(response, reason, RETRY_AFTER_SECONDS);
    }
}
