package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.azureshed.dispatch.Exchange;
import org.azureshed.dispatch.ExchangeEffect;
import org.azureshed.dispatch.ExchangeEvent;
import org.azureshed.dispatch.ForwardRoute;
import org.azureshed.dispatch.KeyCheck;
import org.azureshed.dispatch.Organisation;
import org.azureshed.dispatch.RequestOrigin;
import org.azureshed.dispatch.TrafficConfiguration;
import org.azureshed.model.RefusalReason;
import org.azureshed.poison.RequestFingerprint;
import org.azureshed.quota.QuotaDecision;

/** One caller's request: executes the effects of its {@link Exchange} and feeds it events. */
final class EntryExchange {
    /** Applies to requests without a deadline header. */
    private static final long DEFAULT_DEADLINE_MILLIS = 10_000;

    /** Reserved for sending the answer back to the caller before its deadline. */
    private static final long DEADLINE_MARGIN_MILLIS = 25;

    /**
     * Lower bound of the soft deadline on routes with a low latency objective. The caller of a
     * short request holds a slot while it waits and fails without the answer, so a late answer is
     * better than a refusal.
     */
    private static final long MIN_SOFT_DEADLINE_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final EntryService service;
    private final EntryHandler handler;
    private final ChannelHandlerContext context;
    private final HttpRequest request;
    private final RequestBody body;
    private final long startNanos;
    private final Map<Integer, EntryAttempt> attempts = new HashMap<>();
    private final StringBuilder trail = new StringBuilder();
    private Exchange exchange;
    private ForwardRoute route;
    private Optional<Organisation> organisation = Optional.empty();
    private String targetService = "";
    private long deadlineNanos;
    private ScheduledFuture<?> timer;

    /** The attempt whose answer is sent to the caller; null until one is chosen. */
    private EntryAttempt deliveredAttempt;

    private RequestOrigin origin = RequestOrigin.FIRST;
    private boolean retryInduced;
    private boolean done;

    EntryExchange(
            EntryService service,
            EntryHandler handler,
            ChannelHandlerContext context,
            HttpRequest request,
            RequestBody body,
            long startNanos) {
        this.service = service;
        this.handler = handler;
        this.context = context;
        this.request = request;
        this.body = body;
        this.startNanos = startNanos;
    }

    EntryService service() {
        return service;
    }

    HttpRequest request() {
        return request;
    }

    ByteBuf body() {
        return body.bytes();
    }

    ForwardRoute route() {
        return route;
    }

    /**
     * Organisation that holds the request's key; empty for calls of targets and public requests.
     */
    Optional<Organisation> organisation() {
        return organisation;
    }

    /** Priority in queues: the organisation's, or else the route's. */
    int priority() {
        return organisation
                .map(Organisation::priority)
                .orElse(OptionalInt.empty())
                .orElse(route.priority());
    }

    /**
     * Whether the local target was running a retry when this request came in, so that the retry may
     * have caused it. The first attempt of such a request uses up retry budget like a retry, but is
     * never refused for lack of budget.
     */
    boolean retryInduced() {
        return retryInduced;
    }

    RequestOrigin origin() {
        return origin;
    }

    boolean sentBefore() {
        return exchange.sent() > 0;
    }

    /**
     * Milliseconds left until the soft deadline; negative once it has passed. It is the deadline
     * for a follow-up request, otherwise the end of the route's latency objective or of {@link
     * #MIN_SOFT_DEADLINE_MILLIS}, whichever is later.
     */
    long softDeadlineMillisLeft() {
        if (origin == RequestOrigin.FOLLOW_UP) {
            return millisLeft();
        }
        long softDeadlineMillis = Math.max(route.targetLatencyMillis(), MIN_SOFT_DEADLINE_MILLIS);
        return softDeadlineMillis - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    long millisLeft() {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    }

    void start() {
        try {
            begin();
        } catch (RuntimeException e) {
            service.events().unexpected("caller_request", e);
            failUnexpectedly();
        }
    }

    private void begin() {
        retryInduced = service.localTargetRunsRetry();
        service.requestStarted();
        Optional<TrafficConfiguration> configuration = service.configuration();
        if (configuration.isEmpty()) {
            refuse(RefusalReason.NO_PRESET, 500);
            return;
        }
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        Optional<ForwardRoute> found = configuration.get().route(host, request.uri());
        if (found.isEmpty()) {
            service.events()
                    .anomaly(
                            "route_not_found",
                            "id",
                            request.headers().get(service.names().requestId()),
                            "host",
                            LogText.shorten(host),
                            "target",
                            LogText.shorten(request.uri()));
            refuse(RefusalReason.NO_ROUTE, 0);
            return;
        }
        route = found.get();
        switch (checkKey(configuration.get())) {
            case KeyCheck.Denied ignored -> {
                refuse(RefusalReason.UNKNOWN_KEY, 0);
                return;
            }
            case KeyCheck.Allowed allowed -> organisation = allowed.organisation();
        }
        origin = service.followUps().origin(route.name(), startNanos);
        if (!service.suspects().isEmpty()) {
            RequestFingerprint fingerprint =
                    Fingerprints.of(service.localService(), request, body());
            if (service.suspects().refused(fingerprint)) {
                refuseSuspect();
                return;
            }
            if (service.suspects().suspect(fingerprint)) {
                route = route.withoutRetries();
            }
        }
        targetService = service.nextService(route);
        deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(timeLimitMillis());
        if (organisation.filter(Organisation::limited).isPresent()) {
            service.quotas()
                    .request(organisation.get(), configuration.get().version(), this::onQuota);
        } else {
            startExchange();
        }
    }

    private void onQuota(QuotaDecision decision) {
        if (done) {
            return;
        }
        switch (decision) {
            case QuotaDecision.Granted ignored -> {
                if (millisLeft() <= 0) {
                    // The granting nodes did not answer in time.
                    refuse(RefusalReason.DEADLINE_EXCEEDED, 0);
                    return;
                }
                try {
                    startExchange();
                } catch (RuntimeException e) {
                    service.events().unexpected("caller_request", e);
                    failUnexpectedly();
                }
            }
            case QuotaDecision.Refused refused ->
                    refuse(RefusalReason.ORGANISATION_RATE, refused.retryAfterMillis());
        }
    }

    private void startExchange() {
        exchange =
                new Exchange(
                        route,
                        service.candidates(targetService, route.repeatable()),
                        startNanos,
                        deadlineNanos,
                        service.randomFraction());
        if (service.mayStart(startNanos, deadlineNanos)) {
            handle(new ExchangeEvent.Started());
        } else {
            handle(new ExchangeEvent.StartsEnded());
        }
    }

    private KeyCheck checkKey(TrafficConfiguration configuration) {
        return KeyCheck.of(
                configuration,
                route,
                Optional.ofNullable(request.headers().get(service.names().key())),
                service.targetCallPossible());
    }

    /** Refuses the request if no target has received it and the node's stop leaves it no time. */
    void refuseIfWaiting() {
        if (exchange != null && !service.mayStart(startNanos, deadlineNanos)) {
            handle(new ExchangeEvent.StartsEnded());
        }
    }

    /**
     * Returns the smaller of the caller's deadline, less a margin, and the route's timeout. A
     * default replaces a missing or malformed deadline.
     */
    private long timeLimitMillis() {
        String header = request.headers().get(service.names().deadline());
        long deadline = DEFAULT_DEADLINE_MILLIS;
        if (header != null) {
            try {
                deadline = (long) Double.parseDouble(header.trim());
            } catch (NumberFormatException e) {
                service.events().anomaly("malformed_deadline", "value", header);
            }
        }
        return Math.min(deadline - DEADLINE_MARGIN_MILLIS, route.timeoutMillis());
    }

    /** Passes an event to the state machine and executes the resulting effects. */
    void handle(ExchangeEvent event) {
        if (done || deliveredAttempt != null) {
            return;
        }
        if (exchange == null) {
            // The limit of the organisation is still being asked for, and the process exits.
            refuse(RefusalReason.NODE_DRAINING, 0);
            return;
        }
        try {
            List<ExchangeEffect> effects = exchange.handle(event, System.nanoTime());
            for (ExchangeEffect effect : effects) {
                if (!done) {
                    execute(effect);
                }
            }
        } catch (RuntimeException e) {
            service.events().unexpected("caller_request", e);
            failUnexpectedly();
        }
    }

    /**
     * Ends the request after an unexpected error. The status promises nothing, as an attempt may
     * have run the request.
     */
    void failUnexpectedly() {
        if (done) {
            return;
        }
        if (deliveredAttempt == null) {
            fail(HttpResponseStatus.INTERNAL_SERVER_ERROR.code(), "internal-error");
        } else {
            finish("truncated", 0, false);
        }
    }

    private void execute(ExchangeEffect effect) {
        switch (effect) {
            case ExchangeEffect.Offer offer -> {
                EntryAttempt attempt = new EntryAttempt(this, offer);
                attempts.put(offer.attempt(), attempt);
                attempt.start();
            }
            case ExchangeEffect.Cancel cancel -> {
                EntryAttempt attempt = attempts.remove(cancel.attempt());
                if (attempt != null) {
                    attempt.cancel();
                }
            }
            case ExchangeEffect.Deliver deliver -> deliver(attempts.get(deliver.attempt()));
            case ExchangeEffect.Refuse refuse -> refuse(refuse.reason(), refuse.retryAfterMillis());
            case ExchangeEffect.Fail fail -> fail(fail.status(), fail.cause());
            case ExchangeEffect.SetTimer timerEffect -> setTimer(timerEffect.nanos());
        }
    }

    private void setTimer(long nanos) {
        if (timer != null) {
            timer.cancel(false);
        }
        long delay = Math.max(0, nanos - System.nanoTime());
        timer =
                service.loop()
                        .schedule(
                                () -> handle(new ExchangeEvent.TimerFired()),
                                delay,
                                TimeUnit.NANOSECONDS);
    }

    /** Adds the result of an attempt to the list of attempts in the log line. */
    void appendToTrail(String node, String result) {
        if (!trail.isEmpty()) {
            trail.append(',');
        }
        trail.append(node).append(':').append(result);
    }

    private void deliver(EntryAttempt attempt) {
        deliveredAttempt = attempt;
        if (attempt.response().status().codeClass() == HttpStatusClass.SUCCESS) {
            service.followUps().answered(route.name(), System.nanoTime());
        }
        HttpResponse source = attempt.response();
        boolean keep = keepConnection();
        if (attempt.complete()) {
            DefaultFullHttpResponse response =
                    CallerResponses.complete(request.method(), source, attempt.takeBuffered());
            CallerResponses.setConnection(response, keep);
            context.writeAndFlush(response);
            finish("delivered", source.status().code(), keep);
            return;
        }
        HttpResponse response = CallerResponses.streamed(source);
        CallerResponses.setConnection(response, keep);
        context.write(response);
        context.writeAndFlush(new DefaultHttpContent(attempt.takeBuffered()));
    }

    /** Forwards a part of an answer that is too large to be buffered. */
    void forwardPart(EntryAttempt attempt, ByteBuf data) {
        if (attempt == deliveredAttempt && !done) {
            context.writeAndFlush(new DefaultHttpContent(data.retain()));
            if (!context.channel().isWritable()) {
                attempt.setAutoRead(false);
            }
        }
    }

    void streamEnded(EntryAttempt attempt, boolean complete) {
        if (attempt != deliveredAttempt || done) {
            return;
        }
        if (complete) {
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            finish("delivered", attempt.response().status().code(), keepConnection());
        } else {
            // Closes without the last chunk, so that the caller sees an incomplete answer.
            finish("truncated", attempt.response().status().code(), false);
        }
    }

    void writabilityChanged(boolean writable) {
        if (deliveredAttempt != null) {
            deliveredAttempt.setAutoRead(writable);
        }
    }

    void callerDisconnected() {
        if (!done) {
            attempts.values().forEach(EntryAttempt::cancel);
            finish("caller-gone", 0, false);
        }
    }

    private void refuse(RefusalReason reason, long retryAfterMillis) {
        DefaultFullHttpResponse response = emptyResponse(reason.status());
        if (reason.retryAfter()) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(
                                    Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
        }
        respond(response, reason.label());
    }

    /** Refuses a request that was running during several target crashes, without running it. */
    private void refuseSuspect() {
        respond(
                emptyResponse(HttpResponseStatus.SERVICE_UNAVAILABLE.code()),
                RefusalReason.POISON_REQUEST.label());
    }

    private void fail(int status, String cause) {
        respond(emptyResponse(status), cause);
    }

    private void respond(DefaultFullHttpResponse response, String outcome) {
        boolean keep = keepConnection();
        CallerResponses.setConnection(response, keep);
        context.writeAndFlush(response);
        finish(outcome, response.status().code(), keep);
    }

    private DefaultFullHttpResponse emptyResponse(int status) {
        return CallerResponses.empty(status, request, service.names());
    }

    private boolean keepConnection() {
        return HttpUtil.isKeepAlive(request) && !service.stopping();
    }

    private void finish(String outcome, int status, boolean keep) {
        done = true;
        if (timer != null) {
            timer.cancel(false);
        }
        attempts.values().forEach(EntryAttempt::cancel);
        body.release();
        service.requestEnded();
        service.events()
                .entryFinished(
                        outcome,
                        System.nanoTime() - startNanos,
                        "id",
                        request.headers().get(service.names().requestId()),
                        "route",
                        route == null ? "" : route.name(),
                        "service",
                        targetService,
                        "origin",
                        origin,
                        "organisation",
                        organisation.map(Organisation::name).orElse(""),
                        "priority",
                        route == null ? -1 : priority(),
                        "status",
                        status,
                        "sent",
                        exchange == null ? 0 : exchange.sent(),
                        "config",
                        service.configuration().map(TrafficConfiguration::version).orElse(0L),
                        "store_ms",
                        service.configurationAgeMillis(),
                        "trail",
                        trail);
        organisation.ifPresent(
                holder -> service.events().organisationRequestFinished(holder.name(), outcome));
        handler.exchangeEnded(keep);
    }
}
