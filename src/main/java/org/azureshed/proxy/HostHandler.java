package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.azureshed.control.ControlLoop;
import org.azureshed.model.Outcome;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;
import org.azureshed.model.UnknownCause;
import org.azureshed.telemetry.FleetMetrics;
import org.azureshed.telemetry.FleetMetrics.Side;

/** Host side: the only way to the targets of its VM. */
@Singleton
final class HostHandler {
    private static final long RETRY_AFTER_SECONDS = 1;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final ControlLoop control;
    private final FleetMetrics metrics;
    private final ForwardClient client;
    private final Map<TargetId, Semaphore> slots = new ConcurrentHashMap<>();

    @Inject
    HostHandler(ControlLoop control, FleetMetrics metrics) {
        this.control = control;
        this.metrics = metrics;
        this.client =
                new ForwardClient(
                        RefusalReason.TARGET_UNREACHABLE, UnknownCause.TARGET_CONNECTION_LOST);
    }

    void handle(HttpServletRequest request, HttpServletResponse response) throws IOException {
        String exchange = request.getHeader(InternalHeaders.EXCHANGE);
        String targetId = request.getHeader(InternalHeaders.TARGET);
        if (exchange == null || targetId == null) {
            refuse(response, RefusalReason.BAD_HEADER);
            return;
        }
        response.setHeader(InternalHeaders.EXCHANGE, exchange);
        Optional<TargetInfo> target = control.snapshot().hosted(new TargetId(targetId));
        if (target.isEmpty()) {
            refuse(response, RefusalReason.TARGET_UNKNOWN);
        } else if (target.get().state() != TargetState.READY) {
            refuse(response, RefusalReason.TARGET_DRAINING);
        } else {
            admit(request, response, target.get());
        }
    }

    private void admit(HttpServletRequest request, HttpServletResponse response, TargetInfo target)
            throws IOException {
        RequestBody body =
                RequestBody.read(request.getInputStream(), request.getContentLengthLong());
        Semaphore gate = slots.computeIfAbsent(target.id(), id -> new Semaphore(target.slots()));
        long millis = Long.parseLong(request.getHeader(InternalHeaders.DEADLINE_MS));
        if (!acquire(gate, millis)) {
            refuse(response, RefusalReason.QUEUE_TIMEOUT);
            return;
        }
        try {
            forward(request, response, target, body, Duration.ofMillis(millis));
        } finally {
            gate.release();
        }
    }

    private static boolean acquire(Semaphore gate, long millis) {
        try {
            return gate.tryAcquire(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void forward(
            HttpServletRequest request,
            HttpServletResponse response,
            TargetInfo target,
            RequestBody body,
            Duration timeLeft)
            throws IOException {
        ClassicHttpRequest forwarded = Requests.copy(request, name -> true, body.entity());
        switch (client.send(target.address(), forwarded, timeLeft)) {
            case ForwardResult.Failed(Outcome outcome, String detail) -> fail(response, outcome);
            case ForwardResult.Answer(ClassicHttpResponse answer) -> relay(response, answer);
        }
    }

    private void relay(HttpServletResponse response, ClassicHttpResponse answer)
            throws IOException {
        try (answer) {
            boolean shed =
                    answer.getCode() == SERVICE_UNAVAILABLE
                            && answer.containsHeader(InternalHeaders.SHED);
            if (shed) {
                fail(response, new Outcome.NotRun(RefusalReason.TARGET_SHED));
                return;
            }
            AnswerWriter.copyHead(answer, response, name -> !InternalHeaders.isInternal(name));
            response.setHeader(InternalHeaders.OUTCOME, "completed");
            AnswerWriter.copyBody(answer.getEntity(), response);
            metrics.completed(Side.HOST, answer.getCode());
        }
    }

    private void fail(HttpServletResponse response, Outcome outcome) throws IOException {
        switch (outcome) {
            case Outcome.NotRun(RefusalReason reason) -> refuse(response, reason);
            case Outcome.Unknown unknown -> {
                metrics.unknown(Side.HOST, unknown.cause());
                AnswerWriter.unknown(response, unknown);
            }
            case Outcome.Completed completed ->
                    throw new IllegalArgumentException("a completed request did not fail");
        }
    }

    private void refuse(HttpServletResponse response, RefusalReason reason) throws IOException {
        metrics.refused(Side.HOST, reason);
        AnswerWriter.refuse(response, reason, RETRY_AFTER_SECONDS);
    }
}
