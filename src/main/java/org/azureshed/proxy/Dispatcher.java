package org.azureshed.proxy;

import io.vavr.control.Either;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.azureshed.idempotency.PermitClock.StartBy;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.Outcome;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.RetryReason;
import org.azureshed.model.TargetId;
import org.azureshed.model.UnknownCause;
import org.azureshed.routing.Candidate;
import org.azureshed.routing.Pick;
import org.azureshed.telemetry.EventLog;
import org.azureshed.telemetry.FleetMetrics;

/**
 * Sends a caller's request to a target and retries it on other targets if the outcome allows.
 *
 * <p>A request that did not run is retried unless the reason of its refusal rules out a retry. One
 * of unknown outcome is retried only if its class is idempotent, it has no idempotency key and its
 * caller is still connected. Neither is retried if its body can no longer be sent from the start,
 * if it is suspected of crashing targets and one may have received it, or if its time or its
 * attempts are used up. A retry after an attempt that put load on a target also needs the consent
 * of the retry budget.
 */
@Singleton
final class Dispatcher {
    private static final int MAX_ATTEMPTS = 3;

    /** Time for an answer to return within a region; at most a tenth of the remaining time. */
    private static final long ANSWER_MARGIN_MILLIS = 50;

    private static final int ANSWER_MARGIN_DIVISOR = 10;

    private static final Set<RefusalReason> REASONS_WITHOUT_TARGET_LOAD =
            EnumSet.of(
                    RefusalReason.NODE_UNREACHABLE,
                    RefusalReason.NODE_DRAINING,
                    RefusalReason.TARGET_UNREACHABLE,
                    RefusalReason.TARGET_UNKNOWN,
                    RefusalReason.TARGET_DRAINING);

    private final TargetChooser chooser;
    private final HostClocks clocks;
    private final DigestFeed digests;
    private final EntrySuspects suspects;
    private final HostPermits permits;
    private final PathProber prober;
    private final FleetMetrics metrics;
    private final ExchangeMonitor monitor;
    private final ForwardClient client;
    private final ExchangeIds exchangeIds;

    @Inject
    Dispatcher(
            TargetChooser chooser,
            HostClocks clocks,
            DigestFeed digests,
            EntrySuspects suspects,
            FleetMetrics metrics,
            ExchangeMonitor monitor,
            HostPermits permits,
            PathProber prober,
            NodeInfo self) {
        this.clocks = clocks;
        this.digests = digests;
        this.suspects = suspects;
        this.chooser = chooser;
        this.metrics = metrics;
        this.monitor = monitor;
        this.client =
                new ForwardClient(
                        RefusalReason.NODE_UNREACHABLE, UnknownCause.NODE_CONNECTION_LOST);
        this.permits = permits;
        this.prober = prober;
        this.exchangeIds = new ExchangeIds(self);
    }

    /**
     * Generates an id for an attempt.
     *
     * @return an id that is unique in the fleet
     */
    String nextExchangeId() {
        return exchangeIds.next();
    }

    /**
     * Runs a request. Only a completed answer is written to the caller; other outcomes are not.
     *
     * @param call the request
     * @return the outcome of the last attempt, or the refusal of a request that got none
     * @throws IOException if the answer broke off after its head was sent to the caller
     */
    Outcome dispatch(Call call) throws IOException {
        EntrySuspects.TrackedRequest tracked = suspects.track(call);
        if (tracked.refused()) {
            return new Outcome.NotRun(RefusalReason.POISON_REQUEST);
        }
        chooser.requestStarted(call);
        Set<TargetId> tried = new HashSet<>();
        Outcome last = new Outcome.NotRun(RefusalReason.NO_TARGET);
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            if (call.timeLeft().isNegative()) {
                return attempt == 1 ? new Outcome.NotRun(RefusalReason.DEADLINE_EXCEEDED) : last;
            }
            if (attempt > 1 && !addsNoLoad(last) && !chooser.tryRetry(call)) {
                return last;
            }
            Optional<Pick> pick = chooser.choose(call, tried);
            if (pick.isEmpty()) {
                return last;
            }
            if (attempt > 1) {
                metrics.retried(retryReason(last));
            }
            tried.add(pick.get().candidate().target().id());
            last = attempt(call, tracked, pick.get(), attempt);
            tracked.ended(last);
            if (!mayTryAnotherTarget(!tracked.mayRetry(), last) || !retryable(call, last)) {
                return last;
            }
        }
        return last;
    }

    /**
     * Whether a request may go to another target after an attempt. One that is suspected of
     * crashing targets may only do so while no target has received it, for example after a lost
     * node.
     *
     * @param suspect whether the request is suspected of crashing targets
     * @param last outcome of the attempt
     */
    static boolean mayTryAnotherTarget(boolean suspect, Outcome last) {
        return !suspect || addsNoLoad(last);
    }

    /**
     * Whether the attempt put no load on a target. Retries after such attempts cannot amplify load
     * and are not counted in the retry budget. If they were, a budget of 10% would run out after
     * the loss of one of two nodes, and requests would be refused.
     */
    private static boolean addsNoLoad(Outcome outcome) {
        return outcome instanceof Outcome.NotRun(RefusalReason reason)
                && REASONS_WITHOUT_TARGET_LOAD.contains(reason);
    }

    private static RetryReason retryReason(Outcome last) {
        return last instanceof Outcome.NotRun
                ? RetryReason.NOT_RUN
                : RetryReason.IDEMPOTENT_UNKNOWN;
    }

    private static boolean retryable(Call call, Outcome outcome) {
        return switch (outcome) {
            case Outcome.Completed completed -> false;
            case Outcome.NotRun(RefusalReason reason) ->
                    reason.retryAfter() && call.body().replayable();
            case Outcome.Unknown(UnknownCause cause) ->
                    cause != UnknownCause.CALLER_GONE && isSafeToRetry(call);
        };
    }

    /**
     * Whether a retry is safe although the request may already have run. One with a permit has an
     * idempotency key and must run at most once.
     */
    private static boolean isSafeToRetry(Call call) {
        return call.requestClass().idempotent()
                && call.permit().isEmpty()
                && call.body().replayable();
    }

    private Outcome attempt(Call call, EntrySuspects.TrackedRequest tracked, Pick pick, int attempt)
            throws IOException {
        Candidate candidate = pick.candidate();
        String exchange = exchangeIds.next();
        CancellableRequest request = request(call, candidate, exchange, attempt);
        request.setHeader(InternalHeaders.FINGERPRINT, tracked.fingerprint());
        if (call.permit().isPresent()) {
            Either<RefusalReason, StartBy> startBy =
                    permits.startBy(call.permit().get(), candidate.node());
            if (startBy.isLeft()) {
                pick.finish();
                return new Outcome.NotRun(startBy.getLeft());
            }
            request.setHeader(InternalHeaders.START_BY, StartByHeader.encode(startBy.get()));
        }
        long sent = System.nanoTime();
        try (InFlight inFlight = monitor.watch(request, call.request())) {
            ForwardResult result = send(call, candidate, request, inFlight);
            return switch (result) {
                case ForwardResult.Answer(ClassicHttpResponse answer) -> {
                    LoadHeader.parse(value(answer, InternalHeaders.LOAD))
                            .ifPresent(load -> record(pick, load, sent));
                    if (!value(answer, InternalHeaders.TARGET_CRASHED).isEmpty()) {
                        tracked.targetCrashed();
                    }
                    yield relay(call, exchange, answer, inFlight);
                }
                case ForwardResult.Failed(Outcome outcome, String detail) -> {
                    logFailure(exchange, candidate, outcome, detail);
                    if (isPathFailure(outcome)) {
                        chooser.failed(candidate.node().id());
                    }
                    yield outcome;
                }
            };
        } finally {
            pick.finish();
        }
    }

    private ForwardResult send(
            Call call, Candidate candidate, CancellableRequest request, InFlight inFlight) {
        try (PathProber.PendingRequest pending =
                prober.watch(candidate.node(), inFlight, isSafeToRetry(call))) {
            return client.send(
                    candidate.node().host(),
                    request,
                    call.body(),
                    call.body().large(),
                    call.timeLeft(),
                    inFlight);
        }
    }

    private void record(Pick pick, LoadHeader load, long sent) {
        chooser.answered(pick, load, sent);
        clocks.received(pick.candidate().node().id(), load);
        load.digest()
                .ifPresent(
                        digest ->
                                digests.received(
                                        pick.candidate().target().service(),
                                        pick.candidate().target().id(),
                                        digest));
    }

    /**
     * Whether a failure counts against the path. One that the caller caused, by disconnecting or by
     * sending an incomplete body, does not.
     */
    private static boolean isPathFailure(Outcome outcome) {
        return !(outcome instanceof Outcome.Unknown(UnknownCause cause))
                || (cause != UnknownCause.CALLER_GONE && cause != UnknownCause.REQUEST_ABORTED);
    }

    private static CancellableRequest request(
            Call call, Candidate candidate, String exchange, int attempt) {
        CancellableRequest request =
                Requests.copy(call.request(), name -> !InternalHeaders.isInternal(name));
        request.setHeader(InternalHeaders.EXCHANGE, exchange);
        request.setHeader(InternalHeaders.TARGET, candidate.target().id());
        request.setHeader(InternalHeaders.SERVICE, call.route().service());
        request.setHeader(InternalHeaders.ROUTE, call.route().id());
        request.setHeader(InternalHeaders.CLASS, call.requestClass().name());
        request.setHeader(InternalHeaders.ORGANISATION, call.organisation());
        request.setHeader(InternalHeaders.DEADLINE_MS, hostDeadlineMillis(call));
        request.setHeader(InternalHeaders.ATTEMPT, attempt);
        return request;
    }

    /**
     * Time left for the host side, in milliseconds. It is shorter than that of the entry side, so
     * the host side reports a slow target first: a timeout here would count against the path.
     */
    private static long hostDeadlineMillis(Call call) {
        long left = call.timeLeft().toMillis();
        return Math.max(0, left - Math.min(ANSWER_MARGIN_MILLIS, left / ANSWER_MARGIN_DIVISOR));
    }

    private static void logFailure(
            String exchange, Candidate candidate, Outcome outcome, String detail) {
        EventLog.warning("forward_failed")
                .with("exchange", exchange)
                .with("target", candidate.target().id())
                .with("outcome", outcome)
                .with("detail", detail)
                .write();
    }

    private Outcome relay(Call call, String exchange, ClassicHttpResponse answer, InFlight inFlight)
            throws IOException {
        try (answer) {
            if (!exchange.equals(value(answer, InternalHeaders.EXCHANGE))) {
                inFlight.cancel(UnknownCause.EXCHANGE_MISMATCH);
                return new Outcome.Unknown(UnknownCause.EXCHANGE_MISMATCH);
            }
            Optional<Outcome> failure = failureOf(answer);
            if (failure.isPresent()) {
                return failure.get();
            }
            HttpServletResponse response = call.response();
            AnswerWriter.copyHead(answer, response, name -> !InternalHeaders.isInternal(name));
            call.recorder().ifPresent(recorder -> recorder.recordHead(answer));
            AnswerWriter.copyBody(answer.getEntity(), response, inFlight, call.recorder());
            return new Outcome.Completed(answer.getCode());
        }
    }

    /** Parses the outcome headers of the host side; empty if the request completed. */
    private static Optional<Outcome> failureOf(ClassicHttpResponse answer) {
        String reason = value(answer, InternalHeaders.REASON);
        return switch (value(answer, InternalHeaders.OUTCOME)) {
            case "completed" -> Optional.empty();
            case "not-run" ->
                    RefusalReason.parse(reason)
                            .<Outcome>map(Outcome.NotRun::new)
                            .or(() -> Optional.of(badAnswer()));
            case "unknown" ->
                    Optional.of(
                            new Outcome.Unknown(
                                    UnknownCause.parse(reason).orElse(UnknownCause.BAD_ANSWER)));
            default -> Optional.of(badAnswer());
        };
    }

    private static Outcome badAnswer() {
        return new Outcome.Unknown(UnknownCause.BAD_ANSWER);
    }

    private static String value(ClassicHttpResponse answer, String name) {
        Header header = answer.getFirstHeader(name);
        return header == null ? "" : header.getValue();
    }
}
