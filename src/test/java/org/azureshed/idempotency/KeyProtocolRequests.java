package org.azureshed.idempotency;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import org.azureshed.model.Outcome;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.UnknownCause;

/** The senders, the host side and the target of {@link KeyProtocolModel}. */
abstract class KeyProtocolRequests extends KeyProtocolNodes {
    KeyProtocolRequests(KeyProtocolScenario scenario) {
        super(scenario);
    }

    boolean mayRetry(int number, Sender sender) {
        boolean ended = sender.phase().equals("refused") || sender.phase().equals("not run");
        return ended && sender.attempt() < scenario.attempts(number);
    }

    /** Adds the steps that a sender can take: send a claim, give up, or lose the host side. */
    void expandSender(int[] state, int number, Consumer<StateSearch.Next> out) {
        Sender sender = (Sender) interner.value(state[SENDER + number]);
        boolean first = sender.phase().equals("idle") && scenario.attempts(number) > 0;
        if (first || mayRetry(number, sender)) {
            for (int node = 0; node < scenario.claimableNodes(); node++) {
                Sender next = new Sender(sender.attempt() + 1, "waiting", node, entryClock(state));
                int[] claimed = with(number, next, state);
                Message claim = new Message.Claimed(node, number, next.attempt());
                out.accept(
                        new StateSearch.Next(new MessageStep("send", claim), with(claimed, claim)));
            }
        }
        if (sender.phase().equals("waiting")) {
            int[] next = notRun(state, number, sender);
            out.accept(new StateSearch.Next("sender " + number + " gives up", next));
        }
        if (sender.phase().equals("forwarded")) {
            int[] next = with(number, phase(sender, "unknown"), state);
            Outcome unknown = new Outcome.Unknown(UnknownCause.NODE_CONNECTION_LOST);
            next =
                    with(
                            next,
                            new Message.Reported(
                                    sender.owner(), number, sender.attempt(), unknown));
            out.accept(new StateSearch.Next("sender " + number + " loses host", next));
        }
    }

    int[] deliver(int[] state, Message message) {
        return switch (message) {
            case Message.ToNode(int node, NodeInstance instance, OwnerEvent event) ->
                    node(state, node).self().equals(instance)
                            ? submit(state, node, withTime(event, clock(state, node)))
                            : state;
            case Message.Write write -> write(state, write);
            case Message.Written(int node, var lease, long version, long sent, long server) ->
                    lease.holder().equals(node(state, node).self())
                            ? submit(
                                    state,
                                    node,
                                    new OwnerEvent.WriteAccepted(
                                            lease, version, sent, clock(state, node), server))
                            : state;
            case Message.Claimed(int node, int sender, int attempt) ->
                    submit(
                            state,
                            node,
                            new OwnerEvent.ClaimReceived(
                                    new Claim(id(sender, attempt), key, fingerprint, 0, 0),
                                    clock(state, node)));
            case Message.Replied replied -> replied(state, replied);
            case Message.Reported(int node, int sender, int attempt, Outcome outcome) ->
                    submit(
                            state,
                            node,
                            new OwnerEvent.OutcomeReported(
                                    new OutcomeReport(
                                            id(sender, attempt), key, outcome, Optional.empty()),
                                    clock(state, node)));
            case Message.Forward forward -> forward(state, forward);
            case Message.Start start -> started(state, start);
            case Message.Ended ended -> ended(state, ended);
        };
    }

    int[] replied(int[] state, Message.Replied replied) {
        Sender sender = (Sender) interner.value(state[SENDER + replied.sender()]);
        boolean expected = isInPhase(state, replied.sender(), replied.attempt(), "waiting");
        if (!expected) {
            return state;
        }
        if (replied.reply() instanceof ClaimReply.Granted(long length, long epoch)) {
            Permit permit =
                    new Permit(
                            id(replied.sender(), sender.attempt()),
                            key,
                            epoch,
                            permits.permitEnd(sender.claimSent(), length));
            PermitClock.HostSample sample =
                    new PermitClock.HostSample("1", ORIGIN_MILLIS, ORIGIN_MILLIS);
            Either<RefusalReason, PermitClock.StartBy> startBy =
                    permits.startBy(permit, sample, entryClock(state));
            if (startBy.isLeft()) {
                return notRun(state, replied.sender(), sender);
            }
            int[] next = with(replied.sender(), phase(sender, "forwarded"), state);
            return with(
                    next, new Message.Forward(replied.sender(), sender.attempt(), startBy.get()));
        }
        int[] next = with(replied.sender(), phase(sender, "refused"), state);
        boolean settles =
                replied.reply() instanceof ClaimReply.Unknown
                        || replied.reply() instanceof ClaimReply.KeyExpired
                        || replied.reply() instanceof ClaimReply.KeyBeforeTakeover;
        if (settles) {
            next[ENVIRONMENT] = interner.id(environment(state).withOutcomeSettled());
        }
        return next;
    }

    int[] notRun(int[] state, int number, Sender sender) {
        int[] next = with(number, phase(sender, "not run"), state);
        Outcome outcome = new Outcome.NotRun(RefusalReason.PERMIT_EXPIRED);
        return with(next, new Message.Reported(sender.owner(), number, sender.attempt(), outcome));
    }

    int[] forward(int[] state, Message.Forward forward) {
        Environment environment = environment(state);
        long now = ORIGIN_MILLIS + (state[TIME] - environment.bootStep()) * scenario.hostRate();
        PermitClock.StartBy startBy = scenario.startByAtHost(forward.startBy(), environment.boot());
        Either<RefusalReason, Long> deadline =
                permits.targetDeadline(
                        startBy, Integer.toString(environment.boot()), vmTime(state), now);
        return deadline.fold(
                reason ->
                        with(
                                state,
                                new Message.Ended(
                                        forward.sender(),
                                        forward.attempt(),
                                        new Outcome.NotRun(reason))),
                end ->
                        with(
                                state,
                                new Message.Start(
                                        forward.sender(),
                                        forward.attempt(),
                                        scenario.deadlineAtTarget(end))));
    }

    int[] started(int[] state, Message.Start start) {
        if (vmTime(state) >= start.deadline()) {
            Outcome shed = new Outcome.NotRun(RefusalReason.TARGET_SHED);
            return with(state, new Message.Ended(start.sender(), start.attempt(), shed));
        }
        Sender sender = (Sender) interner.value(state[SENDER + start.sender()]);
        boolean toldNotRun =
                sender.phase().equals("not run") && sender.attempt() >= start.attempt();
        int[] next = state.clone();
        next[ENVIRONMENT] = interner.id(environment(state).started(toldNotRun));
        Outcome done = new Outcome.Completed(201);
        return with(next, new Message.Ended(start.sender(), start.attempt(), done));
    }

    int[] ended(int[] state, Message.Ended ended) {
        Sender sender = (Sender) interner.value(state[SENDER + ended.sender()]);
        if (!isInPhase(state, ended.sender(), ended.attempt(), "forwarded")) {
            return state;
        }
        if (ended.outcome() instanceof Outcome.NotRun) {
            return notRun(state, ended.sender(), sender);
        }
        int[] next = with(ended.sender(), phase(sender, "done"), state);
        return with(
                next,
                new Message.Reported(
                        sender.owner(), ended.sender(), ended.attempt(), ended.outcome()));
    }
}
