package org.azureshed.idempotency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.azureshed.control.Step;
import org.azureshed.model.NodeId;

/** The nodes of {@link KeyProtocolModel}, which run the production reducer, and the platform. */
abstract class KeyProtocolNodes implements KeyProtocolState {

    final KeyProtocolScenario scenario;
    final OwnerReducer reducer;
    final PermitClock permits;
    final StateSearch.Interner interner = new StateSearch.Interner();
    final Map<Long, Reduced> reductions = new HashMap<>();
    final IdempotencyKey key;
    final KeyRange range;
    final ContentFingerprint fingerprint =
            ContentFingerprint.of("POST", "/certificates", new byte[0]);

    KeyProtocolNodes(KeyProtocolScenario scenario) {
        this.scenario = scenario;
        this.reducer = new OwnerReducer(scenario.rules());
        this.permits = new PermitClock(scenario.timing());
        this.key = keyOwnedByNode0();
        this.range = KeyRange.of(key);
    }

    /** Cached result of a reduction: the interned node state and its effects. */
    record Reduced(int node, List<OwnerEffect> effects) {}

    static NodeInstance instance(int node, long incarnation) {
        return new NodeInstance(new NodeId("node-" + node), incarnation);
    }

    RangePlacement placement(int restarted) {
        List<OwnerCandidate> candidates = new ArrayList<>();
        for (int node = 0; node < Math.min(3, scenario.nodes()); node++) {
            candidates.add(
                    new OwnerCandidate(instance(node, node == restarted ? 2 : 1), "zone-" + node));
        }
        return new RangePlacement(candidates);
    }

    /**
     * Placement that a node uses. Node 3 knows only itself, so it replaces an owner whose lease
     * stays unchanged for long enough.
     */
    RangePlacement placementSeenBy(int node) {
        return node < 3
                ? placement(-1)
                : new RangePlacement(List.of(new OwnerCandidate(instance(node, 1), "zone-x")));
    }

    IdempotencyKey keyOwnedByNode0() {
        long time = BASE_MILLIS + scenario.keyMillis();
        for (long random = 0; ; random++) {
            IdempotencyKey candidate =
                    new IdempotencyKey(
                            "o", "r", new UUID(time << 16 | 0x7000, Long.MIN_VALUE | random));
            RangePlacement placement = placement(-1);
            KeyRange candidateRange = KeyRange.of(candidate);
            NodeInstance first = instance(0, 1);
            boolean owned = placement.best(candidateRange).equals(Optional.of(first));
            boolean next =
                    placement
                            .successors(candidateRange, first, List.of())
                            .getFirst()
                            .equals(instance(1, 1));
            if (owned && next) {
                return candidate;
            }
        }
    }

    /** Decodes a message of a state. Delayed messages have negative ids. */
    Message message(int id) {
        return (Message) interner.value(id < 0 ? -1 - id : id);
    }

    int firstMessageIndex() {
        return NODE + scenario.nodes();
    }

    boolean isInPhase(int[] state, int number, int attempt, String phase) {
        Sender sender = (Sender) interner.value(state[SENDER + number]);
        return scenario.claimNumber(sender.attempt()) == scenario.claimNumber(attempt)
                && sender.phase().equals(phase);
    }

    static OwnerEvent withTime(OwnerEvent event, long now) {
        return switch (event) {
            case OwnerEvent.ConsentAsked asked ->
                    new OwnerEvent.ConsentAsked(
                            asked.range(), asked.holder(), asked.epoch(), asked.token(), now);
            case OwnerEvent.ConsentAnswered a ->
                    new OwnerEvent.ConsentAnswered(
                            a.range(), a.epoch(), a.successor(), a.granted(), a.askedMillis(), now);
            case OwnerEvent.SuccessorNoticed notice ->
                    new OwnerEvent.SuccessorNoticed(
                            notice.lease(), notice.version(), notice.token(), now);
            case OwnerEvent.SuccessorAcknowledged a ->
                    new OwnerEvent.SuccessorAcknowledged(
                            a.lease(), a.successor(), a.version(), now);
            case OwnerEvent.HandOverReceived received ->
                    new OwnerEvent.HandOverReceived(received.handOver(), now);
            default -> throw new IllegalStateException("not a message between nodes: " + event);
        };
    }

    int[] write(int[] state, Message.Write message) {
        Stored stored = (Stored) interner.value(state[PLATFORM]);
        KeyRangeLease lease = message.write().lease();
        int node = message.node();
        boolean sameProcess = node(state, node).self().equals(lease.holder());
        boolean awaitsReply = !message.abandoned() && sameProcess;
        if (!environment(state).platformUp()) {
            return awaitsReply ? refuse(state, node, lease, false) : state;
        }
        if (stored.version() != message.write().expectedVersion()) {
            return awaitsReply ? refuse(state, node, lease, true) : state;
        }
        int[] next = state.clone();
        next[PLATFORM] = interner.id(new Stored(Optional.of(lease), stored.version() + 1));
        return awaitsReply
                ? with(
                        next,
                        new Message.Written(
                                node,
                                lease,
                                stored.version() + 1,
                                message.write().sentMillis(),
                                platformTime(state)))
                : next;
    }

    int[] refuse(int[] state, int node, KeyRangeLease lease, boolean conflict) {
        return submit(
                state, node, new OwnerEvent.WriteRefused(lease, conflict, clock(state, node)));
    }

    /** Reduces an event and carries out its effects. Reads are answered at once. */
    int[] submit(int[] from, int node, OwnerEvent first) {
        int[] state = from.clone();
        Deque<OwnerEvent> events = new ArrayDeque<>();
        events.add(first);
        while (!events.isEmpty()) {
            Reduced reduced = reduce(state[NODE + node], events.poll());
            state[NODE + node] = reduced.node();
            for (OwnerEffect effect : reduced.effects()) {
                state = carryOut(state, node, effect, events);
            }
        }
        return state;
    }

    Reduced reduce(int node, OwnerEvent event) {
        long id = (long) node << 32 | interner.id(event);
        Reduced known = reductions.get(id);
        if (known != null) {
            return known;
        }
        Step<OwnerState, OwnerEffect> step =
                reducer.reduce((OwnerState) interner.value(node), event);
        Reduced reduced = new Reduced(interner.id(canonical(step.state())), step.effects());
        reductions.put(id, reduced);
        return reduced;
    }

    /**
     * Removes times that no longer matter, which reduces the number of states: event times never
     * decrease in the model, so the latest one and past call times are set to 0.
     */
    static OwnerState canonical(OwnerState state) {
        OwnerState result =
                new OwnerState(
                        state.self(),
                        state.placement(),
                        state.platformReachable(),
                        state.clock(),
                        state.ranges(),
                        state.nextWrite(),
                        0,
                        state.stopping());
        for (RangeState range : state.ranges().values()) {
            if (range.nextCallMillis() < state.nowMillis()) {
                result = result.with(range.withNextCall(0));
            }
        }
        return result;
    }

    int[] carryOut(int[] state, int node, OwnerEffect effect, Deque<OwnerEvent> events) {
        long now = clock(state, node);
        return switch (effect) {
            case OwnerEffect.ReadLease read -> {
                Stored stored = (Stored) interner.value(state[PLATFORM]);
                events.add(
                        environment(state).platformUp()
                                ? new OwnerEvent.LeaseRead(
                                        range,
                                        stored.lease(),
                                        stored.version(),
                                        now,
                                        now,
                                        platformTime(state))
                                : new OwnerEvent.ReadFailed(range, now));
                yield state;
            }
            case OwnerEffect.WriteLease write -> with(state, new Message.Write(node, write, false));
            case OwnerEffect.AnswerClaim(ClaimId claim, ClaimReply reply) ->
                    with(
                            state,
                            new Message.Replied(
                                    Integer.parseInt(claim.entry().node().value()),
                                    (int) claim.number(),
                                    reply));
            case OwnerEffect.NotifySuccessor(var to, LeaseTerm lease, long version) ->
                    toNode(state, to, new OwnerEvent.SuccessorNoticed(lease, version, 0, 0));
            case OwnerEffect.AnswerNotice(
                            LeaseTerm lease,
                            boolean named,
                            long version,
                            long token) ->
                    named
                            ? toNode(
                                    state,
                                    lease.holder(),
                                    new OwnerEvent.SuccessorAcknowledged(
                                            lease, node(state, node).self(), version, 0))
                            : state;
            // The model uses the time of asking as token, which the answer returns to the holder.
            case OwnerEffect.AskConsent(var to, KeyRangeLease lease, long asked) ->
                    toNode(
                            state,
                            to,
                            new OwnerEvent.ConsentAsked(
                                    lease.range(), lease.holder(), lease.epoch(), asked, 0));
            case OwnerEffect.AnswerConsent a ->
                    toNode(
                            state,
                            a.to(),
                            new OwnerEvent.ConsentAnswered(
                                    a.range(),
                                    a.epoch(),
                                    node(state, node).self(),
                                    a.granted(),
                                    a.token(),
                                    0));
            case OwnerEffect.SendHandOver(var to, HandOver handOver) ->
                    toNode(state, to, new OwnerEvent.HandOverReceived(handOver, 0));
        };
    }

    int[] toNode(int[] state, NodeInstance to, OwnerEvent event) {
        int node = Integer.parseInt(to.node().value().substring("node-".length()));
        return with(state, new Message.ToNode(node, to, event));
    }

    ClaimId id(int sender, int attempt) {
        return new ClaimId(
                new NodeInstance(new NodeId(Integer.toString(sender)), 1),
                scenario.claimNumber(attempt));
    }

    static Sender phase(Sender sender, String phase) {
        return new Sender(sender.attempt(), phase, sender.owner(), sender.claimSent());
    }

    int[] with(int number, Sender sender, int[] state) {
        int[] next = state.clone();
        next[SENDER + number] = interner.id(sender);
        return next;
    }

    int[] with(int[] state, Message message) {
        int[] next = Arrays.copyOf(state, state.length + 1);
        next[state.length] = interner.id(message);
        Arrays.sort(next, NODE + scenario.nodes(), next.length);
        return next;
    }

    int[] withDelayed(int[] state, Message message) {
        int[] next = Arrays.copyOf(state, state.length + 1);
        next[state.length] = -1 - interner.id(message);
        Arrays.sort(next, firstMessageIndex(), next.length);
        return next;
    }

    static int[] without(int[] state, int index) {
        int[] next = Arrays.copyOf(state, state.length - 1);
        System.arraycopy(state, index + 1, next, index, state.length - index - 1);
        return next;
    }

    static int[] withFaultUsed(int[] state) {
        int[] next = state.clone();
        next[FAULTS]--;
        return next;
    }

    Environment environment(int[] state) {
        return (Environment) interner.value(state[ENVIRONMENT]);
    }

    OwnerState node(int[] state, int node) {
        return (OwnerState) interner.value(state[NODE + node]);
    }

    long clock(int[] state, int node) {
        return ORIGIN_MILLIS + state[TIME] * scenario.rate(node);
    }

    long entryClock(int[] state) {
        return ORIGIN_MILLIS + state[TIME] * STEP_MILLIS;
    }

    long vmTime(int[] state) {
        return BASE_MILLIS + state[TIME] * STEP_MILLIS;
    }

    long platformTime(int[] state) {
        return BASE_MILLIS + state[TIME] * STEP_MILLIS;
    }
}
