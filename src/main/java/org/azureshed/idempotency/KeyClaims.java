package org.azureshed.idempotency;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.azureshed.idempotency.internal.KeyShell;
import org.azureshed.model.Outcome;
import org.azureshed.model.RefusalReason;
import org.azureshed.telemetry.EventLog;
import org.azureshed.transport.TransportError;

/**
 * Claims keys for requests and reports their outcomes. Calls block; use them on virtual threads.
 *
 * <pre>{@code
 * claims.claim("ministry", "certificates", header, fingerprint, exchange, workMillis)
 *         .peekLeft(this::refuse)
 *         .peek(decision -> {
 *             switch (decision) {
 *                 case ClaimDecision.Run run -> claims.report(run, forward(run.permit()), answer());
 *                 case ClaimDecision.Replay replay -> send(replay.answer());
 *             }
 *         });
 * }</pre>
 */
public final class KeyClaims {
    /** One retry, with a newer lease, because the owner may have just lost its range. */
    private static final int ATTEMPTS = 2;

    private final NodeInstance self;
    private final KeyShell shell;
    private final PermitClock clock;
    private final AtomicLong lastNumber = new AtomicLong();

    /**
     * Creates a client of the owners of keys.
     *
     * @param self this process
     * @param shell finds owners and sends them messages
     * @param timing bound of the clock-rate error
     */
    public KeyClaims(NodeInstance self, KeyShell shell, KeyTiming timing) {
        this.self = self;
        this.shell = shell;
        this.clock = new PermitClock(timing);
    }

    /**
     * Claims a key.
     *
     * @param organisation the caller's organisation
     * @param routeId id of the route
     * @param key value of the header {@code Idempotency-Key}
     * @param fingerprint hash of the request's content
     * @param exchangeId id of the request's exchange for log entries
     * @param workMillis longest time in milliseconds that the request's class allows from the start
     *     of the work to its answer
     * @return whether to forward the request or to send a stored answer, or why the request is
     *     refused
     */
    public Either<RefusalReason, ClaimDecision> claim(
            String organisation,
            String routeId,
            String key,
            ContentFingerprint fingerprint,
            String exchangeId,
            long workMillis) {
        return IdempotencyKey.parse(organisation, routeId, key)
                .flatMap(parsed -> claim(parsed, fingerprint, exchangeId, workMillis));
    }

    /**
     * Reports the outcome of a granted request. Does not block. Without a report the owner treats
     * the outcome as unknown once the request's time is over.
     *
     * @param run the granted claim
     * @param outcome outcome of the work
     * @param answer answer to store for later requests with the key; empty if the work did not
     *     complete or the answer is too large
     */
    public void report(ClaimDecision.Run run, Outcome outcome, Optional<StoredAnswer> answer) {
        Permit permit = run.permit();
        shell.report(run.owner(), new OutcomeReport(permit.claim(), permit.key(), outcome, answer));
    }

    private Either<RefusalReason, ClaimDecision> claim(
            IdempotencyKey key,
            ContentFingerprint fingerprint,
            String exchangeId,
            long workMillis) {
        KeyRange range = KeyRange.of(key);
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            Optional<KeyRangeLease> lease = shell.lease(range, attempt > 0);
            if (lease.isEmpty()) {
                return Either.left(RefusalReason.KEY_OWNER_UNAVAILABLE);
            }
            ClaimId id = new ClaimId(self, lastNumber.incrementAndGet());
            Claim claim = new Claim(id, key, fingerprint, lease.get().epoch(), workMillis);
            long sent = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            Either<TransportError, ClaimReply> reply =
                    shell.sendClaim(lease.get().holder(), claim).toCompletableFuture().join();
            if (reply.isLeft()) {
                EventLog.warning("key_claim_failed")
                        .with("exchange", exchangeId)
                        .with("range", range.number())
                        .with("error", reply.getLeft().message())
                        .write();
                // The owner may have granted the claim. Nothing is forwarded for it.
                Outcome notRun = new Outcome.NotRun(RefusalReason.KEY_OWNER_UNAVAILABLE);
                shell.report(
                        lease.get().holder(), new OutcomeReport(id, key, notRun, Optional.empty()));
            } else if (!(reply.get() instanceof ClaimReply.NotOwner)) {
                return decide(reply.get(), claim, lease.get().holder(), sent);
            }
        }
        return Either.left(RefusalReason.KEY_OWNER_UNAVAILABLE);
    }

    private Either<RefusalReason, ClaimDecision> decide(
            ClaimReply reply, Claim claim, NodeInstance owner, long sent) {
        return switch (reply) {
            case ClaimReply.Granted(long length, long epoch) ->
                    Either.right(
                            new ClaimDecision.Run(
                                    new Permit(
                                            claim.id(),
                                            claim.key(),
                                            epoch,
                                            clock.permitEnd(sent, length)),
                                    owner));
            case ClaimReply.Completed(StoredAnswer answer) ->
                    Either.right(new ClaimDecision.Replay(answer));
            case ClaimReply.InProgress ignored -> Either.left(RefusalReason.KEY_IN_PROGRESS);
            case ClaimReply.Unknown ignored -> Either.left(RefusalReason.KEY_OUTCOME_UNKNOWN);
            case ClaimReply.Mismatch ignored -> Either.left(RefusalReason.KEY_REUSED);
            case ClaimReply.NotOwner ignored -> Either.left(RefusalReason.KEY_OWNER_UNAVAILABLE);
            case ClaimReply.KeyExpired ignored -> Either.left(RefusalReason.KEY_EXPIRED);
            case ClaimReply.KeyFromFuture ignored -> Either.left(RefusalReason.KEY_FROM_FUTURE);
            case ClaimReply.KeyBeforeTakeover ignored ->
                    Either.left(RefusalReason.KEY_BEFORE_TAKEOVER);
            case ClaimReply.RecordFull ignored -> Either.left(RefusalReason.KEY_RECORDS_FULL);
        };
    }
}
