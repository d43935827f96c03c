package org.azureshed.proxy;

import io.vavr.control.Either;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.azureshed.idempotency.ClaimDecision;
import org.azureshed.idempotency.ContentFingerprint;
import org.azureshed.idempotency.KeyClaims;
import org.azureshed.idempotency.StoredAnswer;
import org.azureshed.model.Outcome;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.UnknownCause;

/** Runs requests that carry an {@code Idempotency-Key} at most once. */
@Singleton
final class KeyedRequests {
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String REPLAYED_HEADER = "Idempotency-Replayed";

    private final KeyClaims claims;
    private final Dispatcher dispatcher;

    @Inject
    KeyedRequests(KeyClaims claims, Dispatcher dispatcher) {
        this.claims = claims;
        this.dispatcher = dispatcher;
    }

    static boolean isKeyed(HttpServletRequest request) {
        return request.getHeader(KEY_HEADER) != null;
    }

    /**
     * Claims the key of a request, then runs the request or replays the stored answer.
     *
     * @param call the request
     * @return the outcome; a completed answer has been written to the caller
     * @throws IOException if the answer broke off after its head was sent to the caller
     */
    Outcome dispatch(Call call) throws IOException {
        List<String> keys = Collections.list(call.request().getHeaders(KEY_HEADER));
        if (keys.size() != 1) {
            return new Outcome.NotRun(RefusalReason.KEY_MALFORMED);
        }
        Either<RefusalReason, ClaimDecision> decision =
                claims.claim(
                        call.organisation(),
                        call.route().id(),
                        keys.getFirst(),
                        fingerprint(call),
                        dispatcher.nextExchangeId(),
                        call.requestClass().deadlineMillis());
        if (decision.isLeft()) {
            return new Outcome.NotRun(decision.getLeft());
        }
        return switch (decision.get()) {
            case ClaimDecision.Run run -> run(call, run);
            case ClaimDecision.Replay(StoredAnswer answer) -> replay(call.response(), answer);
        };
    }

    /**
     * Fingerprint of the content; of a body larger than the buffer, only length and prefix count.
     */
    private static ContentFingerprint fingerprint(Call call) {
        HttpServletRequest request = call.request();
        String target = request.getRequestURI() + "?" + request.getQueryString();
        String length = call.body().large() ? " " + request.getContentLengthLong() : "";
        return ContentFingerprint.of(request.getMethod(), target + length, call.body().prefix());
    }

    private Outcome run(Call call, ClaimDecision.Run run) throws IOException {
        AnswerRecorder recorder = new AnswerRecorder();
        Outcome outcome = new Outcome.Unknown(UnknownCause.CALLER_GONE);
        try {
            outcome = dispatcher.dispatch(call.withPermit(run.permit(), recorder));
            return outcome;
        } finally {
            boolean completed = outcome instanceof Outcome.Completed;
            claims.report(
                    run, outcome, completed ? Optional.of(recorder.answer()) : Optional.empty());
        }
    }

    private static Outcome replay(HttpServletResponse response, StoredAnswer answer)
            throws IOException {
        response.setStatus(answer.status());
        answer.headers().forEach(response::setHeader);
        response.setHeader(REPLAYED_HEADER, "true");
        byte[] body = answer.body().toByteArray();
        response.setContentLength(body.length);
        response.getOutputStream().write(body);
        return new Outcome.Completed(answer.status());
    }
}
