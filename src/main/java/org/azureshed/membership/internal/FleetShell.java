package org.azureshed.membership.internal;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.azureshed.generated.ControlMessage;
import org.azureshed.membership.MembershipEffect;
import org.azureshed.membership.MembershipEvent;
import org.azureshed.model.Endpoint;
import org.azureshed.telemetry.EventLog;
import org.azureshed.transport.ControlHandler;
import org.azureshed.transport.ControlTransport;
import org.azureshed.transport.TransportError;
import org.azureshed.transport.TransportLimits;

/**
 * Carries out the effects of the membership reducer and submits its events.
 *
 * <p>{@link MembershipEffect.DeleteRecord}, {@link MembershipEffect.GossipEntriesReceived}, {@link
 * MembershipEffect.ReachabilityChanged} and {@link MembershipEffect.DuplicateNodeId} are handled by
 * other parts of the node and passed to the given consumer.
 *
 * <pre>{@code
 * FleetShell shell = FleetShell.create(event -> loop.submit(new ControlEvent.Membership(event)),
 *         others, claims::received);
 * shell.start(self.control());
 * }</pre>
 */
public final class FleetShell implements AutoCloseable {
    private static final long ROUND_MILLIS = 1_000;

    /** Random deviation of each round, so that nodes that started together do not stay in step. */
    private static final long JITTER_MILLIS = 40;

    /** Limit of requests that await a reply of the reducer, which replies within a second. */
    private static final int MAX_OPEN_REPLIES = 4_096;

    private final Consumer<MembershipEvent> events;
    private final Consumer<MembershipEffect> others;
    private final ControlHandler otherMessages;
    private final ControlTransport transport;
    private final Map<Long, ControlHandler.Replier> repliers = new ConcurrentHashMap<>();
    private final AtomicLong lastToken = new AtomicLong();
    private volatile Thread rounds;

    private FleetShell(
            Consumer<MembershipEvent> events,
            Consumer<MembershipEffect> others,
            ControlHandler otherMessages) {
        this.events = events;
        this.others = others;
        this.otherMessages = otherMessages;
        this.transport = ControlTransport.create(TransportLimits.defaults(), this::received);
    }

    /**
     * Creates a shell without listening for connections.
     *
     * @param events receives events for the reducer
     * @param others receives effects that other parts of the node handle
     * @param otherMessages receives messages of other packages, on the event loop thread
     * @return a shell to be started and closed by the caller
     */
    public static FleetShell create(
            Consumer<MembershipEvent> events,
            Consumer<MembershipEffect> others,
            ControlHandler otherMessages) {
        return new FleetShell(events, others, otherMessages);
    }

    /**
     * Listens for control connections and starts the gossip rounds.
     *
     * @param endpoint address to listen on
     * @return the address, or {@link TransportError.NotListening}
     */
    public Either<TransportError, Endpoint> start(Endpoint endpoint) {
        Either<TransportError, Endpoint> listening = transport.listen(endpoint);
        if (listening.isRight()) {
            rounds = Thread.ofVirtual().name("gossip-rounds").start(this::rounds);
        }
        return listening;
    }

    /**
     * The control connections, for other packages.
     *
     * @return the transport, closed with this shell
     */
    public ControlTransport transport() {
        return transport;
    }

    /**
     * Carries out an effect. Does not block.
     *
     * @param effect the effect
     */
    public void carryOut(MembershipEffect effect) {
        switch (effect) {
            case MembershipEffect.Request request -> request(request);
            case MembershipEffect.Send(Endpoint to, ControlMessage message) ->
                    transport.send(to, message);
            case MembershipEffect.Reply(long token, ControlMessage message) -> {
                ControlHandler.Replier replier = repliers.remove(token);
                if (replier != null) {
                    replier.reply(message);
                }
            }
            default -> others.accept(effect);
        }
    }

    /** Stops the rounds and closes all connections. */
    @Override
    public void close() {
        Thread running = rounds;
        if (running != null) {
            running.interrupt();
        }
        transport.close();
    }

    private void request(MembershipEffect.Request request) {
        transport
                .request(
                        request.to(), request.message(), Duration.ofMillis(request.timeoutMillis()))
                .thenAccept(
                        result ->
                                events.accept(
                                        result.fold(
                                                error ->
                                                        new MembershipEvent.RequestFailed(
                                                                request.purpose()),
                                                reply ->
                                                        new MembershipEvent.ReplyReceived(
                                                                request.purpose(), reply))));
    }

    private void received(ControlMessage message, ControlHandler.Replier replier) {
        switch (message.getBodyCase()) {
            case GOSSIP_REQUEST, SYNC_REQUEST, PING, INDIRECT_PING -> {
                if (repliers.size() >= MAX_OPEN_REPLIES) {
                    EventLog.warning("gossip_overloaded").with("open", repliers.size()).write();
                    return;
                }
                long token = lastToken.incrementAndGet();
                repliers.put(token, replier);
                events.accept(new MembershipEvent.MessageReceived(message, token));
            }
            case GOSSIP_PUSH, PRESET_ANNOUNCEMENT ->
                    events.accept(new MembershipEvent.MessageReceived(message, 0));
            default -> otherMessages.received(message, replier);
        }
    }

    private void rounds() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
                ThreadLocalRandom random = ThreadLocalRandom.current();
                events.accept(new MembershipEvent.GossipDue(now, random.nextLong()));
                Thread.sleep(ROUND_MILLIS - JITTER_MILLIS + random.nextLong(2 * JITTER_MILLIS));
            }
        } catch (InterruptedException ignored) {
            // The shell was closed.
        }
    }
}
