package org.azureshed.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.azureshed.control.Step;
import org.azureshed.generated.ControlMessage;
import org.azureshed.membership.MembershipEffect;
import org.azureshed.membership.MembershipEvent;
import org.azureshed.membership.MembershipReducer;
import org.azureshed.membership.MembershipState;
import org.azureshed.membership.RequestPurpose;
import org.azureshed.model.Endpoint;

/** Runs many membership reducers in one thread with virtual time and counts their bytes. */
public final class GossipLoop {
    private static final int FRAME_BYTES = 4;

    /** Decides about each message; seeded by the caller. */
    @FunctionalInterface
    public interface Network {
        /**
         * Chooses when copies of a message arrive.
         *
         * @param from index of the sending node
         * @param to index of the receiving node
         * @return delay of each copy in milliseconds; empty if the message is lost
         */
        long[] delays(int from, int to);
    }

    private record Timed(long millis, long order, int node, Runnable action)
            implements Comparable<Timed> {
        @Override
        public int compareTo(Timed other) {
            return millis != other.millis
                    ? Long.compare(millis, other.millis)
                    : Long.compare(order, other.order);
        }
    }

    private record Open(int node, RequestPurpose purpose) {}

    private final MembershipReducer reducer;
    private final Network network;
    private final SplittableRandom random;
    private final List<MembershipState> states = new ArrayList<>();
    private final List<Boolean> running = new ArrayList<>();
    private final List<MembershipEffect> otherEffects = new ArrayList<>();
    private final Map<Endpoint, Integer> byEndpoint = new HashMap<>();
    private final Map<Long, Open> open = new HashMap<>();
    private final PriorityQueue<Timed> queue = new PriorityQueue<>();
    private long[] bytes = new long[0];
    private long nowMillis;
    private long lastOrder;

    /**
     * Creates a loop without nodes.
     *
     * @param reducer reduces the events of all nodes
     * @param network decides about messages
     * @param seed seed of the rounds
     */
    public GossipLoop(MembershipReducer reducer, Network network, long seed) {
        this.reducer = reducer;
        this.network = network;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Adds a node and starts its rounds at a random phase.
     *
     * @param state its first state
     * @return its index
     */
    public int add(MembershipState state) {
        int node = states.size();
        states.add(state);
        running.add(true);
        bytes = java.util.Arrays.copyOf(bytes, node + 1);
        byEndpoint.put(state.self().control(), node);
        schedule(random.nextInt(1_000), node, () -> round(node));
        return node;
    }

    /**
     * Stops a node without notice.
     *
     * @param node its index
     */
    public void kill(int node) {
        running.set(node, false);
    }

    /**
     * Reduces an event now.
     *
     * @param node index of the node
     * @param event the event
     */
    public void submit(int node, MembershipEvent event) {
        if (!running.get(node)) {
            return;
        }
        Step<MembershipState, MembershipEffect> step = reducer.reduce(states.get(node), event);
        states.set(node, step.state());
        for (MembershipEffect effect : step.effects()) {
            carryOut(node, effect);
        }
    }

    /**
     * Runs all events up to a time.
     *
     * @param untilMillis the time
     */
    public void run(long untilMillis) {
        while (!queue.isEmpty() && queue.peek().millis() <= untilMillis) {
            Timed next = queue.poll();
            nowMillis = next.millis();
            next.action().run();
        }
        nowMillis = untilMillis;
    }

    /**
     * The virtual time.
     *
     * @return milliseconds since the start
     */
    public long nowMillis() {
        return nowMillis;
    }

    /**
     * State of a node.
     *
     * @param node its index
     * @return the state
     */
    public MembershipState state(int node) {
        return states.get(node);
    }

    /**
     * Number of nodes.
     *
     * @return the number, with killed ones
     */
    public int size() {
        return states.size();
    }

    /**
     * Effects other than messages and changes of the view, in order, since the start.
     *
     * @return the effects
     */
    public List<MembershipEffect> otherEffects() {
        return otherEffects;
    }

    /**
     * Bytes that each node sent and received since the last call, with frame lengths.
     *
     * @return bytes by node
     */
    public long[] takeBytes() {
        long[] taken = bytes;
        bytes = new long[states.size()];
        return taken;
    }

    private void round(int node) {
        submit(node, new MembershipEvent.GossipDue(nowMillis, random.nextLong()));
        schedule(1_000, node, () -> round(node));
    }

    private void carryOut(int node, MembershipEffect effect) {
        switch (effect) {
            case MembershipEffect.Request(var to, var message, var purpose, var timeout) -> {
                long token = ++lastOrder;
                open.put(token, new Open(node, purpose));
                deliver(node, byEndpoint.get(to), message, token);
                schedule(timeout, node, () -> fail(token));
            }
            case MembershipEffect.Send(var to, var message) ->
                    deliver(node, byEndpoint.get(to), message, 0);
            case MembershipEffect.Reply(long token, var message) -> reply(node, token, message);
            case MembershipEffect.ViewChanged view -> {
                // The state has the view.
            }
            default -> otherEffects.add(effect);
        }
    }

    private void deliver(int from, Integer to, ControlMessage message, long token) {
        int size = message.getSerializedSize() + FRAME_BYTES;
        bytes[from] += size;
        if (to == null) {
            return;
        }
        for (long delay : network.delays(from, to)) {
            schedule(
                    delay,
                    to,
                    () -> {
                        bytes[to] += size;
                        submit(to, new MembershipEvent.MessageReceived(message, token));
                    });
        }
    }

    private void reply(int from, long token, ControlMessage message) {
        Open request = open.get(token);
        int size = message.getSerializedSize() + FRAME_BYTES;
        bytes[from] += size;
        if (request == null) {
            return;
        }
        for (long delay : network.delays(from, request.node())) {
            schedule(
                    delay,
                    request.node(),
                    () -> {
                        bytes[request.node()] += size;
                        if (open.remove(token) != null) {
                            submit(
                                    request.node(),
                                    new MembershipEvent.ReplyReceived(request.purpose(), message));
                        }
                    });
        }
    }

    private void fail(long token) {
        Open request = open.remove(token);
        if (request != null) {
            submit(request.node(), new MembershipEvent.RequestFailed(request.purpose()));
        }
    }

    private void schedule(long delayMillis, int node, Runnable action) {
        queue.add(
                new Timed(
                        nowMillis + delayMillis,
                        ++lastOrder,
                        node,
                        () -> {
                            if (running.get(node)) {
                                action.run();
                            }
                        }));
    }
}
