package org.azureshed.idempotency;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import org.azureshed.idempotency.KeyProtocolScenario.Fault;
import org.azureshed.model.Outcome;

/**
 * Finite model around the real reducers: up to four nodes, one range, one key, two senders, a host
 * side, a target and the platform.
 *
 * <p>Without faults, messages arrive at once and nodes wake up at each step of time. A bounded
 * number of faults can be inserted at any point: a node pauses until any later point, a message is
 * delayed until any later point or for ever, duplicated, or its answer is lost, the platform goes
 * down until any later point, a process restarts. Senders act at any point. Clocks run at different
 * rates.
 */
final class KeyProtocolModel extends KeyProtocolWork implements StateSearch.Model {
    private final int[] initial;

    KeyProtocolModel(KeyProtocolScenario scenario) {
        super(scenario);
        this.initial = start();
    }

    /** All nodes know the first lease of node 0. */
    private int[] start() {
        int[] state = new int[NODE + scenario.nodes()];
        state[FAULTS] = scenario.faults();
        state[WORLD] = interner.id(new World(true, 1, 0, 0, false, ""));
        state[PLATFORM] = interner.id(new Stored(Optional.empty(), 0));
        for (int sender = 0; sender < SENDERS; sender++) {
            state[SENDER + sender] = interner.id(new Sender(0, "idle", 0, 0));
        }
        for (int node = 0; node < scenario.nodes(); node++) {
            state[NODE + node] =
                    interner.id(OwnerState.initial(instance(node, 1)).withPlacement(view(node)));
        }
        for (int node = 0; node < scenario.nodes(); node++) {
            long now = clock(state, node);
            state = submit(state, node, new OwnerEvent.NamedAsSuccessor(range, now));
            state = settle(submit(state, node, new OwnerEvent.Tick(now)));
            state = settle(submit(state, node, new OwnerEvent.Tick(now)));
        }
        return state;
    }

    /** Delivers all messages; without the wait for a take-over that would have no end. */
    private int[] settle(int[] from) {
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
        World world = world(state);
        if (!world.broken().isEmpty()) {
            return Optional.of(world.broken());
        }
        int granting = 0;
        for (int node = 0; node < scenario.nodes(); node++) {
            boolean may = reducer.mayGrant(node(state, node), range, clock(state, node));
            granting += may ? 1 : 0;
        }
        return granting > 1 ? Optional.of("two nodes may grant") : Optional.empty();
    }

    @Override
    public void expand(int[] state, Consumer<StateSearch.Next> all) {
        if (scenario.hasSenders() && finished(state)) {
            return;
        }
        Consumer<StateSearch.Next> out =
                next -> all.accept(new StateSearch.Next(next.label(), pruned(next.state())));
        int last = state[state.length - 1];
        boolean prompt = state.length > first() && last >= 0;
        if (prompt) {
            promptMessage(state, out);
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
                int[] next = used(state);
                next[PAUSED] |= 1 << node;
                out.accept(new StateSearch.Next("pause " + node, next));
            }
        }
        for (int i = first(); i < state.length; i++) {
            Message message = message(state[i]);
            if (!blocked(state, message)) {
                int[] next = deliver(without(state, i), message);
                out.accept(new StateSearch.Next(new Failed("late", message), next));
            }
        }
        for (int sender = 0; sender < SENDERS; sender++) {
            sender(state, sender, out);
        }
        faults(state, out);
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

    /** A paused node takes no messages. */
    private static boolean blocked(int[] state, Message message) {
        return switch (message) {
            case Message.ToNode(int node, var instance, var event) -> paused(state, node);
            case Message.Written written -> paused(state, written.node());
            case Message.Claimed claimed -> paused(state, claimed.node());
            case Message.Reported reported -> paused(state, reported.node());
            default -> false;
        };
    }

    /** Delivers the next message that is not delayed, or inserts a fault. */
    private void promptMessage(int[] state, Consumer<StateSearch.Next> out) {
        int last = state.length - 1;
        Message message = message(state[last]);
        int[] rest = without(state, last);
        int[] delayed = state.clone();
        delayed[last] = -1 - state[last];
        Arrays.sort(delayed, first(), delayed.length);
        if (blocked(state, message)) {
            out.accept(new StateSearch.Next(new Failed("blocked", message), delayed));
            return;
        }
        out.accept(new StateSearch.Next(message, deliver(rest, message)));
        if (state[FAULTS] == 0) {
            return;
        }
        if (scenario.has(Fault.DELAY)) {
            out.accept(new StateSearch.Next(new Failed("delayed", message), used(delayed)));
        }
        if (message instanceof Message.Write write && scenario.has(Fault.LOST_ANSWER)) {
            Message abandoned = new Message.Write(write.node(), write.write(), true);
            OwnerEvent lost =
                    new OwnerEvent.WriteUnanswered(
                            write.write().lease(), clock(state, write.node()));
            int[] next = submit(withLate(used(rest), abandoned), write.node(), lost);
            out.accept(new StateSearch.Next(new Failed("lost answer", message), next));
            int[] written = deliver(used(rest), abandoned);
            out.accept(
                    new StateSearch.Next(
                            new Failed("written, lost answer", message),
                            submit(written, write.node(), lost)));
        }
        boolean control =
                message instanceof Message.ToNode
                        || message instanceof Message.Claimed
                        || message instanceof Message.Replied
                        || message instanceof Message.Reported;
        if (control && scenario.has(Fault.DUPLICATE)) {
            int[] next = deliver(withLate(used(rest), message), message);
            out.accept(new StateSearch.Next(new Failed("duplicated", message), next));
        }
    }

    /** No work can start any more; ownership without senders is a scenario of its own. */
    private boolean finished(int[] state) {
        for (int sender = 0; sender < SENDERS; sender++) {
            Sender value = (Sender) interner.value(state[SENDER + sender]);
            boolean unused = value.phase().equals("idle") && scenario.attempts(sender) == 0;
            boolean over = !value.phase().equals("idle") && !value.phase().equals("waiting");
            if (!(over || unused) || mayRetry(sender, value)) {
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

    /** Removes messages that nobody reads. */
    private int[] pruned(int[] state) {
        int[] result = state;
        for (int i = state.length - 1; i >= NODE + scenario.nodes(); i--) {
            boolean again = i > first() && state[i] == state[i - 1] && isNotice(message(state[i]));
            if (again || unread(state, message(state[i]))) {
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
                    !in(state, sender, attempt, "waiting");
            case Message.Ended(int sender, int attempt, Outcome outcome) ->
                    !in(state, sender, attempt, "forwarded");
            default -> false;
        };
    }

    private static boolean isNotice(Message message) {
        return message instanceof Message.ToNode to
                && (to.event() instanceof OwnerEvent.SuccessorNoticed
                        || to.event() instanceof OwnerEvent.SuccessorAcknowledged);
    }

    /** A notice causes a read or an answer, and an answer only ends the notices. */
    private boolean withoutEffect(int[] state, int node, OwnerEvent event) {
        return switch (event) {
            case OwnerEvent.SuccessorNoticed notice -> {
                RangeState known = node(state, node).range(range);
                boolean current = known.read() && known.version() >= notice.version();
                yield current && !open(state, notice.lease(), node(state, node).self());
            }
            case OwnerEvent.SuccessorAcknowledged answer ->
                    !open(state, answer.lease(), answer.successor());
            default -> false;
        };
    }

    /** Whether a holder still notifies a successor. */
    private boolean open(int[] state, LeaseTerm lease, NodeInstance successor) {
        for (int node = 0; node < scenario.nodes(); node++) {
            boolean waits =
                    node(state, node)
                            .range(range)
                            .holding()
                            .filter(holding -> LeaseTerm.of(holding.lease()).equals(lease))
                            .filter(h -> h.notices().versions().containsKey(successor))
                            .isPresent();
            if (waits) {
                return true;
            }
        }
        return false;
    }

    private void faults(int[] state, Consumer<StateSearch.Next> out) {
        World world = world(state);
        if (!world.up()) {
            int[] next = state.clone();
            next[WORLD] = interner.id(world.withUp(true));
            out.accept(new StateSearch.Next("platform up", next));
        }
        if (state[FAULTS] == 0) {
            return;
        }
        if (scenario.has(Fault.OUTAGE) && world.up()) {
            int[] next = used(state);
            next[WORLD] = interner.id(world.withUp(false));
            out.accept(new StateSearch.Next("platform down", next));
        }
        if (scenario.has(Fault.HOST_RESTART)) {
            int[] next = used(state);
            next[WORLD] =
                    interner.id(
                            new World(
                                    world.up(),
                                    world.boot() + 1,
                                    state[TIME],
                                    world.starts(),
                                    world.settled(),
                                    world.broken()));
            out.accept(new StateSearch.Next("host restart", next));
        }
        for (int node = 0; node < scenario.nodes(); node++) {
            OwnerState old = node(state, node);
            if (scenario.restarts(node) && old.self().incarnation() == 1) {
                int[] next = used(state);
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
            out.accept(new StateSearch.Next("stop 0", submit(used(state), 0, stop)));
        }
    }
}
