package org.azureshed.idempotency;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import org.azureshed.idempotency.KeyProtocolScenario.Fault;
import org.azureshed.model.Outcome;

/**
 * Finite model that runs the production reducers: up to four nodes, one range, one key, two
 * senders, a host side, a target and the platform.
 *
 * <p>Without faults, messages arrive at once and each node gets a tick at each step of time. A
 * bounded number of faults can be inserted at any point: a node pauses until any later point; a
 * message is delayed until any later point or forever, is duplicated, or its answer is lost; the
 * platform is down until any later point; a process restarts. Senders act at any point. Clocks run
 * at different rates.
 */
final class KeyProtocolModel extends KeyProtocolRequests implements StateSearch.Model {
    private final int[] initial;

    KeyProtocolModel(KeyProtocolScenario scenario) {
        super(scenario);
        this.initial = start();
    }

    /** Initial state, in which node 0 holds the range and all nodes have read its first lease. */
    private int[] start() {
        int[] state = new int[NODE + scenario.nodes()];
        state[FAULTS] = scenario.faults();
        state[ENVIRONMENT] = interner.id(new Environment(true, 1, 0, 0, false, ""));
        state[PLATFORM] = interner.id(new Stored(Optional.empty(), 0));
        for (int sender = 0; sender < SENDERS; sender++) {
            state[SENDER + sender] = interner.id(new Sender(0, "idle", 0, 0));
        }
        for (int node = 0; node < scenario.nodes(); node++) {
            state[NODE + node] =
                    interner.id(
                            OwnerState.initial(instance(node, 1))
                                    .withPlacement(placementSeenBy(node)));
        }
        for (int node = 0; node < scenario.nodes(); node++) {
            long now = clock(state, node);
            state = submit(state, node, new OwnerEvent.NamedAsSuccessor(range, now));
            state = deliverAll(submit(state, node, new OwnerEvent.Tick(now)));
            state = deliverAll(submit(state, node, new OwnerEvent.Tick(now)));
        }
        return state;
    }

    /**
     * Delivers messages until none is left or an invariant is violated. If the wait before a
     * take-over is disabled, nodes would send messages without end.
     */
    private int[] deliverAll(int[] from) {
        int[] state = from;
        while (state.length > NODE + scenario.nodes() && violation(state).isEmpty()) {
            int[] rest = without(state, NODE + scenario.nodes());
            Message message = (Message) interner.value(state[NODE + scenario.nodes()]);
            state = deliver(rest, message);
        }
        return state;
    }

    @Override
    public int[] initial() {
        return initial;
    }

    @Override
    public Optional<String> violation(int[] state) {
        Environment environment = environment(state);
        if (!environment.violation().isEmpty()) {
            return Optional.of(environment.violation());
        }
        int granting = 0;
        for (int node = 0; node < scenario.nodes(); node++) {
            boolean may = reducer.mayGrant(node(state, node), range, clock(state, node));
            granting += may ? 1 : 0;
        }
        return granting > 1 ? Optional.of("two nodes may grant") : Optional.empty();
    }

    @Override
    public void expand(int[] state, Consumer<StateSearch.Next> consumer) {
        if (scenario.hasSenders() && finished(state)) {
            return;
        }
        Consumer<StateSearch.Next> out =
                next -> consumer.accept(new StateSearch.Next(next.label(), pruned(next.state())));
        int last = state[state.length - 1];
        boolean hasUndelayedMessage = state.length > firstMessageIndex() && last >= 0;
        if (hasUndelayedMessage) {
            expandUndelayedMessage(state, out);
            return;
        }
        if (state[TIME] < scenario.steps()) {
            out.accept(new StateSearch.Next("time", passTime(state)));
        }
        for (int node = 0; node < scenario.nodes(); node++) {
            if (paused(state, node)) {
                int[] next = state.clone();
                next[PAUSED] &= ~(1 << node);
                OwnerEvent tick = new OwnerEvent.Tick(clock(state, node));
                out.accept(new StateSearch.Next("resume " + node, submit(next, node, tick)));
            } else if (state[FAULTS] > 0 && scenario.has(Fault.PAUSE)) {
                int[] next = withFaultUsed(state);
                next[PAUSED] |= 1 << node;
                out.accept(new StateSearch.Next("pause " + node, next));
            }
        }
        for (int i = firstMessageIndex(); i < state.length; i++) {
            Message message = message(state[i]);
            if (!blocked(state, message)) {
                int[] next = deliver(without(state, i), message);
                out.accept(new StateSearch.Next(new MessageStep("late", message), next));
            }
        }
        for (int sender = 0; sender < SENDERS; sender++) {
            expandSender(state, sender, out);
        }
        expandFaults(state, out);
    }

    private int[] passTime(int[] state) {
        int[] next = state.clone();
        next[TIME]++;
        for (int node = 0; node < scenario.nodes(); node++) {
            if (!paused(state, node)) {
                next = submit(next, node, new OwnerEvent.Tick(clock(next, node)));
            }
        }
        return next;
    }

    private static boolean paused(int[] state, int node) {
        return (state[PAUSED] & 1 << node) != 0;
    }

    /** Whether a message is for a paused node, which receives none. */
    private static boolean blocked(int[] state, Message message) {
        return switch (message) {
            case Message.ToNode(int node, var instance, var event) -> paused(state, node);
            case Message.Written written -> paused(state, written.node());
            case Message.Claimed claimed -> paused(state, claimed.node());
            case Message.Reported reported -> paused(state, reported.node());
            default -> false;
        };
    }

    /** Expands the last message, which is not delayed: delivers it or inserts a fault. */
    private void expandUndelayedMessage(int[] state, Consumer<StateSearch.Next> out) {
        int last = state.length - 1;
        Message message = message(state[last]);
        int[] rest = without(state, last);
        int[] delayed = state.clone();
        delayed[last] = -1 - state[last];
        Arrays.sort(delayed, firstMessageIndex(), delayed.length);
        if (blocked(state, message)) {
            out.accept(new StateSearch.Next(new MessageStep("blocked", message), delayed));
            return;
        }
        out.accept(new StateSearch.Next(message, deliver(rest, message)));
        if (state[FAULTS] == 0) {
            return;
        }
        if (scenario.has(Fault.DELAY)) {
            out.accept(
                    new StateSearch.Next(
                            new MessageStep("delayed", message), withFaultUsed(delayed)));
        }
        if (message instanceof Message.Write write && scenario.has(Fault.LOST_ANSWER)) {
            Message abandoned = new Message.Write(write.node(), write.write(), true);
            OwnerEvent lost =
                    new OwnerEvent.WriteUnanswered(
                            write.write().lease(), clock(state, write.node()));
            int[] next = submit(withDelayed(withFaultUsed(rest), abandoned), write.node(), lost);
            out.accept(new StateSearch.Next(new MessageStep("lost answer", message), next));
            int[] written = deliver(withFaultUsed(rest), abandoned);
            out.accept(
                    new StateSearch.Next(
                            new MessageStep("written, lost answer", message),
                            submit(written, write.node(), lost)));
        }
        boolean control =
                message instanceof Message.ToNode
                        || message instanceof Message.Claimed
                        || message instanceof Message.Replied
                        || message instanceof Message.Reported;
        if (control && scenario.has(Fault.DUPLICATE)) {
            int[] next = deliver(withDelayed(withFaultUsed(rest), message), message);
            out.accept(new StateSearch.Next(new MessageStep("duplicated", message), next));
        }
    }

    /**
     * Whether no work can start any more. Such states need no further search, because other
     * scenarios check ownership without senders.
     */
    private boolean finished(int[] state) {
        for (int sender = 0; sender < SENDERS; sender++) {
            Sender value = (Sender) interner.value(state[SENDER + sender]);
            boolean unused = value.phase().equals("idle") && scenario.attempts(sender) == 0;
            boolean ended = !value.phase().equals("idle") && !value.phase().equals("waiting");
            if (!(ended || unused) || mayRetry(sender, value)) {
                return false;
            }
        }
        for (int i = NODE + scenario.nodes(); i < state.length; i++) {
            Object message = message(state[i]);
            if (message instanceof Message.Forward || message instanceof Message.Start) {
                return false;
            }
        }
        return true;
    }

    /** Removes messages that have no effect, which reduces the number of states. */
    private int[] pruned(int[] state) {
        int[] result = state;
        for (int i = state.length - 1; i >= NODE + scenario.nodes(); i--) {
            boolean duplicate =
                    i > firstMessageIndex()
                            && state[i] == state[i - 1]
                            && isNotice(message(state[i]));
            if (duplicate || unread(state, message(state[i]))) {
                result = without(result, i);
            }
        }
        return result;
    }

    private boolean unread(int[] state, Message message) {
        return switch (message) {
            case Message.ToNode(int node, NodeInstance instance, OwnerEvent event) ->
                    !node(state, node).self().equals(instance) || withoutEffect(state, node, event);
            case Message.Write write ->
                    write.abandoned()
                            && write.write().expectedVersion()
                                    < ((Stored) interner.value(state[PLATFORM])).version();
            case Message.Written written ->
                    !node(state, written.node()).self().equals(written.lease().holder());
            case Message.Replied(int sender, int attempt, ClaimReply reply) ->
                    !isInPhase(state, sender, attempt, "waiting");
            case Message.Ended(int sender, int attempt, Outcome outcome) ->
                    !isInPhase(state, sender, attempt, "forwarded");
            default -> false;
        };
    }

    private static boolean isNotice(Message message) {
        return message instanceof Message.ToNode to
                && (to.event() instanceof OwnerEvent.SuccessorNoticed
                        || to.event() instanceof OwnerEvent.SuccessorAcknowledged);
    }

    /**
     * Whether a notice or its answer changes nothing: a notice only causes a read or an answer, and
     * an answer only ends the notices.
     */
    private boolean withoutEffect(int[] state, int node, OwnerEvent event) {
        return switch (event) {
            case OwnerEvent.SuccessorNoticed notice -> {
                RangeState known = node(state, node).range(range);
                boolean current = known.read() && known.version() >= notice.version();
                yield current
                        && !awaitsAcknowledgement(state, notice.lease(), node(state, node).self());
            }
            case OwnerEvent.SuccessorAcknowledged answer ->
                    !awaitsAcknowledgement(state, answer.lease(), answer.successor());
            default -> false;
        };
    }

    /** Whether a holder still waits for a successor's acknowledgement. */
    private boolean awaitsAcknowledgement(int[] state, LeaseTerm lease, NodeInstance successor) {
        for (int node = 0; node < scenario.nodes(); node++) {
            boolean pending =
                    node(state, node)
                            .range(range)
                            .owned()
                            .filter(owned -> LeaseTerm.of(owned.lease()).equals(lease))
                            .filter(
                                    owned ->
                                            owned.pendingNotices()
                                                    .versions()
                                                    .containsKey(successor))
                            .isPresent();
            if (pending) {
                return true;
            }
        }
        return false;
    }

    /** Adds the steps that end an outage and those that insert a fault that concerns no message. */
    private void expandFaults(int[] state, Consumer<StateSearch.Next> out) {
        Environment environment = environment(state);
        if (!environment.platformUp()) {
            int[] next = state.clone();
            next[ENVIRONMENT] = interner.id(environment.withPlatformUp(true));
            out.accept(new StateSearch.Next("platform up", next));
        }
        if (state[FAULTS] == 0) {
            return;
        }
        if (scenario.has(Fault.OUTAGE) && environment.platformUp()) {
            int[] next = withFaultUsed(state);
            next[ENVIRONMENT] = interner.id(environment.withPlatformUp(false));
            out.accept(new StateSearch.Next("platform down", next));
        }
        if (scenario.has(Fault.HOST_RESTART)) {
            int[] next = withFaultUsed(state);
            next[ENVIRONMENT] =
                    interner.id(
                            new Environment(
                                    environment.platformUp(),
                                    environment.boot() + 1,
                                    state[TIME],
                                    environment.starts(),
                                    environment.outcomeSettled(),
                                    environment.violation()));
            out.accept(new StateSearch.Next("host restart", next));
        }
        for (int node = 0; node < scenario.nodes(); node++) {
            OwnerState old = node(state, node);
            if (scenario.restarts(node) && old.self().incarnation() == 1) {
                int[] next = withFaultUsed(state);
                next[NODE + node] =
                        interner.id(
                                OwnerState.initial(instance(node, 2))
                                        .withPlacement(placement(node)));
                long now = clock(state, node);
                next = submit(next, node, new OwnerEvent.NamedAsSuccessor(range, now));
                out.accept(new StateSearch.Next("restart " + node, next));
            }
        }
        if (scenario.has(Fault.STOP) && !node(state, 0).stopping()) {
            OwnerEvent stop = new OwnerEvent.StopRequested(clock(state, 0));
            out.accept(new StateSearch.Next("stop 0", submit(withFaultUsed(state), 0, stop)));
        }
    }
}
