package org.azureshed.idempotency.internal;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.azureshed.generated.ClaimOutcomeReply;
import org.azureshed.generated.ControlMessage;
import org.azureshed.generated.LeaseConsentReply;
import org.azureshed.generated.LeaseConsentRequest;
import org.azureshed.generated.RecordHandover;
import org.azureshed.generated.RecordHandoverReply;
import org.azureshed.idempotency.Claim;
import org.azureshed.idempotency.ClaimId;
import org.azureshed.idempotency.ClaimReply;
import org.azureshed.idempotency.HandOver;
import org.azureshed.idempotency.KeyRange;
import org.azureshed.idempotency.KeyRangeLease;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.idempotency.OutcomeReport;
import org.azureshed.idempotency.OwnerEffect;
import org.azureshed.idempotency.OwnerEvent;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.platform.ObjectStore;
import org.azureshed.telemetry.EventLog;
import org.azureshed.transport.ControlHandler;
import org.azureshed.transport.ControlTransport;
import org.azureshed.transport.TransportError;

/**
 * Performs the input and output of the reducer of key ranges: carries out its effects and submits
 * its events.
 */
public final class KeyShell implements AutoCloseable {
    private static final long TICK_MILLIS = 200;

    /**
     * Mean time between two listings of all leases. The times are random; 2,400 nodes cause 40
     * listings a second.
     */
    private static final long MEAN_LIST_INTERVAL_MILLIS = 60_000;

    private static final Duration CONSENT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(1);

    /**
     * Limit of claims that wait in the reducer's event queue. The reducer answers a claim as soon
     * as it processes the claim's event.
     */
    private static final int MAX_PENDING_CLAIMS = 10_000;

    private final NodeInstance self;
    private final ControlTransport transport;
    private final Function<NodeId, Optional<Endpoint>> addresses;
    private final Consumer<OwnerEvent> events;
    private final Map<ClaimId, Consumer<ClaimReply>> claims = new ConcurrentHashMap<>();
    private final Map<Long, ControlHandler.Replier> consentRepliers = new ConcurrentHashMap<>();
    private final LeaseStore leases;
    private final HandOverParts handOvers;
    private final SuccessorNotices notices;
    private final AtomicLong lastToken = new AtomicLong();
    private volatile Thread tickThread;

    /**
     * Creates a shell. It does nothing before {@link #start}.
     *
     * @param self this process
     * @param store the platform
     * @param transport connections to other nodes
     * @param addresses control address of a node; empty if the node is unknown
     * @param events takes events for the reducer
     */
    public KeyShell(
            NodeInstance self,
            ObjectStore store,
            ControlTransport transport,
            Function<NodeId, Optional<Endpoint>> addresses,
            Consumer<OwnerEvent> events) {
        this.self = self;
        this.transport = transport;
        this.addresses = addresses;
        this.events = events;
        this.leases = new LeaseStore(self, store, events);
        this.handOvers = new HandOverParts(leases::known);
        this.notices = new SuccessorNotices(transport, addresses, events);
    }

    /** Starts the ticks and the listing of leases. */
    public void start() {
        tickThread = Thread.ofVirtual().name("key-range-ticks").start(this::runTicks);
    }

    /** Stops the ticks and the listing of leases. */
    @Override
    public void close() {
        Thread running = tickThread;
        if (running != null) {
            running.interrupt();
        }
    }

    /**
     * Carries out an effect. Does not block.
     *
     * @param effect effect of the reducer
     */
    public void carryOut(OwnerEffect effect) {
        switch (effect) {
            case OwnerEffect.ReadLease(KeyRange range) -> leases.request(range);
            case OwnerEffect.WriteLease write ->
                    Thread.ofVirtual().start(() -> leases.write(write));
            case OwnerEffect.AnswerClaim(ClaimId id, ClaimReply reply) ->
                    Optional.ofNullable(claims.remove(id)).ifPresent(to -> to.accept(reply));
            case OwnerEffect.AskConsent ask -> askConsent(ask);
            case OwnerEffect.AnswerConsent answer -> answerConsent(answer);
            case OwnerEffect.NotifySuccessor notice -> notices.send(notice);
            case OwnerEffect.AnswerNotice answer -> notices.answer(answer);
            case OwnerEffect.SendHandOver(NodeInstance to, HandOver handOver) ->
                    Thread.ofVirtual().start(() -> handOver(to, handOver));
        }
    }

    /**
     * Handles a message of another node. Does not block.
     *
     * @param message message about claims, consents, notices or hand-overs
     * @param replier takes the reply, which can come after this method has returned
     */
    public void received(ControlMessage message, ControlHandler.Replier replier) {
        try {
            switch (message.getBodyCase()) {
                case CLAIM ->
                        claim(
                                KeyMessages.decode(message.getClaim()),
                                reply ->
                                        replier.reply(
                                                ControlMessage.newBuilder()
                                                        .setClaimReply(KeyMessages.encode(reply))
                                                        .build()));
                case CLAIM_OUTCOME -> {
                    events.accept(
                            new OwnerEvent.OutcomeReported(
                                    KeyMessages.decode(message.getClaimOutcome()), now()));
                    replier.reply(
                            ControlMessage.newBuilder()
                                    .setClaimOutcomeReply(
                                            ClaimOutcomeReply.newBuilder().setRecorded(true))
                                    .build());
                }
                case LEASE_CONSENT_REQUEST ->
                        onConsentRequest(message.getLeaseConsentRequest(), replier);
                case SUCCESSOR_NOTICE -> notices.received(message.getSuccessorNotice(), replier);
                case RECORD_HANDOVER -> {
                    handOvers
                            .add(message.getRecordHandover())
                            .ifPresent(
                                    handOver ->
                                            events.accept(
                                                    new OwnerEvent.HandOverReceived(
                                                            handOver, now())));
                    replier.reply(
                            ControlMessage.newBuilder()
                                    .setRecordHandoverReply(
                                            RecordHandoverReply.newBuilder().setAccepted(true))
                                    .build());
                }
                default ->
                        EventLog.warning("control_message_unexpected")
                                .with("body", message.getBodyCase())
                                .write();
            }
        } catch (IllegalArgumentException e) {
            EventLog.warning("key_message_malformed").with("error", e.getMessage()).write();
        }
    }

    /**
     * Sends a claim to an owner, which can be this node.
     *
     * @param owner the owner
     * @param claim the claim
     * @return the reply, or why there is none
     */
    public CompletionStage<Either<TransportError, ClaimReply>> sendClaim(
            NodeInstance owner, Claim claim) {
        if (owner.node().equals(self.node())) {
            CompletableFuture<Either<TransportError, ClaimReply>> localReply =
                    new CompletableFuture<>();
            claim(claim, reply -> localReply.complete(Either.right(reply)));
            return localReply.completeOnTimeout(
                    Either.left(new TransportError.Closed()),
                    CLAIM_TIMEOUT.toMillis(),
                    TimeUnit.MILLISECONDS);
        }
        Optional<Endpoint> peer = addresses.apply(owner.node());
        if (peer.isEmpty()) {
            return CompletableFuture.completedFuture(
                    Either.right(new ClaimReply.NotOwner(Optional.empty())));
        }
        ControlMessage request =
                ControlMessage.newBuilder().setClaim(KeyMessages.encode(claim)).build();
        return transport
                .request(peer.get(), request, CLAIM_TIMEOUT)
                .thenApply(result -> result.flatMap(reply -> claimReply(peer.get(), reply)));
    }

    private static Either<TransportError, ClaimReply> claimReply(
            Endpoint peer, ControlMessage reply) {
        try {
            return Either.right(KeyMessages.decode(reply.getClaimReply()));
        } catch (IllegalArgumentException e) {
            // As without a reply: the owner may have granted the claim.
            EventLog.warning("key_message_malformed").with("error", e.getMessage()).write();
            return Either.left(new TransportError.ConnectionLost(peer));
        }
    }

    /**
     * Sends a report to an owner, which can be this node, and sends it once more if that fails.
     * Does not block.
     *
     * @param owner the owner
     * @param report the report
     */
    public void report(NodeInstance owner, OutcomeReport report) {
        if (owner.node().equals(self.node())) {
            events.accept(new OwnerEvent.OutcomeReported(report, now()));
            return;
        }
        ControlMessage message =
                ControlMessage.newBuilder().setClaimOutcome(KeyMessages.encode(report)).build();
        addresses
                .apply(owner.node())
                .ifPresent(
                        peer ->
                                transport
                                        .request(peer, message, CLAIM_TIMEOUT)
                                        .thenAccept(
                                                result ->
                                                        result.peekLeft(
                                                                error ->
                                                                        transport.request(
                                                                                peer,
                                                                                message,
                                                                                CLAIM_TIMEOUT))));
    }

    /**
     * The newest lease of a range that this node knows. Blocks if it has to read the platform,
     * which it does at most once a second for each range.
     *
     * @param range the range
     * @param outdated whether the known lease named a node that is not the owner or did not answer
     * @return the lease, or empty if it is unknown
     */
    public Optional<KeyRangeLease> lease(KeyRange range, boolean outdated) {
        return leases.lease(range, outdated);
    }

    private void claim(Claim claim, Consumer<ClaimReply> reply) {
        if (claims.size() >= MAX_PENDING_CLAIMS) {
            reply.accept(new ClaimReply.RecordFull());
            return;
        }
        claims.put(claim.id(), reply);
        events.accept(new OwnerEvent.ClaimReceived(claim, now()));
    }

    private void handOver(NodeInstance to, HandOver handOver) {
        Optional<Endpoint> peer = addresses.apply(to.node());
        boolean sent = peer.isPresent();
        for (RecordHandover part : HandOverParts.split(handOver)) {
            ControlMessage message = ControlMessage.newBuilder().setRecordHandover(part).build();
            sent =
                    sent
                            && transport
                                    .request(peer.get(), message, CLAIM_TIMEOUT)
                                    .toCompletableFuture()
                                    .join()
                                    .isRight();
        }
        EventLog.info("key_range_handed_over")
                .with("range", handOver.lease().range().number())
                .with("successor", to.node())
                .with("records", handOver.records().size())
                .with("sent", sent)
                .write();
    }

    private void askConsent(OwnerEffect.AskConsent ask) {
        KeyRangeLease lease = ask.lease();
        ControlMessage request =
                ControlMessage.newBuilder()
                        .setLeaseConsentRequest(
                                LeaseConsentRequest.newBuilder()
                                        .setRange(lease.range().number())
                                        .setEpoch(lease.epoch())
                                        .setHolder(lease.holder().node().value())
                                        .setHolderIncarnation(lease.holder().incarnation()))
                        .build();
        addresses
                .apply(ask.to().node())
                .ifPresent(
                        peer ->
                                transport
                                        .request(peer, request, CONSENT_TIMEOUT)
                                        .thenAccept(
                                                result ->
                                                        result.peek(r -> onConsentReply(ask, r))));
    }

    private void onConsentReply(OwnerEffect.AskConsent ask, ControlMessage reply) {
        events.accept(
                new OwnerEvent.ConsentAnswered(
                        ask.lease().range(),
                        reply.getLeaseConsentReply().getEpoch(),
                        ask.to(),
                        reply.getLeaseConsentReply().hasConsent(),
                        ask.askedMillis(),
                        now()));
    }

    private void onConsentRequest(LeaseConsentRequest request, ControlHandler.Replier replier) {
        long token = lastToken.incrementAndGet();
        consentRepliers.put(token, replier);
        events.accept(
                new OwnerEvent.ConsentAsked(
                        new KeyRange(request.getRange()),
                        new NodeInstance(
                                new NodeId(request.getHolder()), request.getHolderIncarnation()),
                        request.getEpoch(),
                        token,
                        now()));
    }

    private void answerConsent(OwnerEffect.AnswerConsent answer) {
        ControlHandler.Replier replier = consentRepliers.remove(answer.token());
        if (replier == null) {
            return;
        }
        LeaseConsentReply.Builder reply =
                LeaseConsentReply.newBuilder()
                        .setRange(answer.range().number())
                        .setEpoch(answer.epoch());
        if (answer.granted()) {
            reply.getConsentBuilder();
        } else {
            reply.getRefusedBuilder();
        }
        replier.reply(ControlMessage.newBuilder().setLeaseConsentReply(reply).build());
    }

    private void runTicks() {
        long listDue = now() + ThreadLocalRandom.current().nextLong(TICK_MILLIS);
        try {
            while (!Thread.currentThread().isInterrupted()) {
                events.accept(new OwnerEvent.Tick(now()));
                if (now() >= listDue) {
                    Thread.ofVirtual().start(leases::list);
                    listDue =
                            now()
                                    + ThreadLocalRandom.current()
                                            .nextLong(2 * MEAN_LIST_INTERVAL_MILLIS);
                }
                Thread.sleep(TICK_MILLIS);
            }
        } catch (InterruptedException ignored) {
            // The shell was closed while the thread slept.
        }
    }

    static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
