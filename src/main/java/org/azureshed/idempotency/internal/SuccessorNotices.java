package org.azureshed.idempotency.internal;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.azureshed.generated.ControlMessage;
import org.azureshed.generated.SuccessorNotice;
import org.azureshed.generated.SuccessorNoticeReply;
import org.azureshed.idempotency.KeyRange;
import org.azureshed.idempotency.LeaseTerm;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.idempotency.OwnerEffect;
import org.azureshed.idempotency.OwnerEvent;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.transport.ControlHandler;
import org.azureshed.transport.ControlTransport;

/** Sends and answers the messages that notify nodes that a lease names them as successors. */
final class SuccessorNotices {
    /** The reducer repeats a notice after a second, so a later reply is of no use. */
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final ControlTransport transport;
    private final Function<NodeId, Optional<Endpoint>> addresses;
    private final Consumer<OwnerEvent> events;
    private final Map<Long, ControlHandler.Replier> repliers = new ConcurrentHashMap<>();
    private final AtomicLong lastToken = new AtomicLong();

    SuccessorNotices(
            ControlTransport transport,
            Function<NodeId, Optional<Endpoint>> addresses,
            Consumer<OwnerEvent> events) {
        this.transport = transport;
        this.addresses = addresses;
        this.events = events;
    }

    void send(OwnerEffect.NotifySuccessor notice) {
        LeaseTerm lease = notice.lease();
        ControlMessage message =
                ControlMessage.newBuilder()
                        .setSuccessorNotice(
                                SuccessorNotice.newBuilder()
                                        .setRange(lease.range().number())
                                        .setEpoch(lease.epoch())
                                        .setHolder(lease.holder().node().value())
                                        .setHolderIncarnation(lease.holder().incarnation())
                                        .setVersion(notice.version()))
                        .build();
        addresses
                .apply(notice.to().node())
                .ifPresent(
                        peer ->
                                transport
                                        .request(peer, message, TIMEOUT)
                                        .thenAccept(
                                                result -> result.peek(r -> onReply(notice, r))));
    }

    private void onReply(OwnerEffect.NotifySuccessor notice, ControlMessage message) {
        SuccessorNoticeReply reply = message.getSuccessorNoticeReply();
        if (reply.getNamed()) {
            events.accept(
                    new OwnerEvent.SuccessorAcknowledged(
                            notice.lease(), notice.to(), reply.getVersion(), KeyShell.now()));
        }
    }

    void received(SuccessorNotice notice, ControlHandler.Replier replier) {
        LeaseTerm lease =
                new LeaseTerm(
                        new KeyRange(notice.getRange()),
                        new NodeInstance(
                                new NodeId(notice.getHolder()), notice.getHolderIncarnation()),
                        notice.getEpoch());
        long token = lastToken.incrementAndGet();
        repliers.put(token, replier);
        events.accept(
                new OwnerEvent.SuccessorNoticed(lease, notice.getVersion(), token, KeyShell.now()));
    }

    void answer(OwnerEffect.AnswerNotice answer) {
        Optional.ofNullable(repliers.remove(answer.token()))
                .ifPresent(
                        replier ->
                                replier.reply(
                                        ControlMessage.newBuilder()
                                                .setSuccessorNoticeReply(
                                                        SuccessorNoticeReply.newBuilder()
                                                                .setRange(
                                                                        answer.lease()
                                                                                .range()
                                                                                .number())
                                                                .setEpoch(answer.lease().epoch())
                                                                .setNamed(answer.named())
                                                                .setVersion(answer.version()))
                                                .build()));
    }
}
