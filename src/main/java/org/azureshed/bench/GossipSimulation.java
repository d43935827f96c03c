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

/**
 * Discrete-event simulation of the gossip of a fleet: runs the membership reducers of many nodes in
 * one thread with virtual time, and counts the bytes of their messages.
 */
public final class GossipSimulation {
    private static final int FRAME_LENGTH_BYTES = 4;

    /**
     * Decides when each message arrives and whether it is lost; any randomness is seeded by the
     * caller.
     */
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

    private record ScheduledAction(long atMillis, long sequence, int node, Runnable action)
            implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            return atMillis != other.atMillis
                    ? Long.compare(atMillis, other.atMillis)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private record PendingRequest(int node, RequestPurpose purpose) {}

    private final MembershipReducer reducer;
    private final Network network;
    private final SplittableRandom random;
    private final List<MembershipState> states = new ArrayList<>();
    private final List<Boolean> running = new ArrayList<>();
    private final List<MembershipEffect> otherEffects = new ArrayList<>();
    private final Map<Endpoint, Integer> nodeByEndpoint = new HashMap<>();
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();
    private long[] bytes = new long[0];
    private long nowMillis;
    private long lastSequence;

    /**
     * Creates a simulation without nodes.
     *
     * @param reducer reducer that handles the events of all nodes
     * @param network decides when messages arrive
     * @param seed seed of the random numbers for the gossip rounds
     */
    public GossipSimulation(MembershipReducer reducer, Network network, long seed) {
        this.reducer = reducer;
        this.network = network;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Adds a node and starts its gossip rounds, one in each second from a random time within the
     * first second.
     *
     * @param state initial state of the node
     * @return index of the node
     */
    public int add(MembershipState state) {
        int node = states.size();
        states.add(state);
        running.add(true);
        bytes = java.util.Arrays.copyOf(bytes, node + 1);
        nodeByEndpoint.put(state.self().control(), node);
        schedule(random.nextInt(1_000), node, () -> runGossipRound(node));
        return node;
    }

    /**
     * Stops a node without a notice to the others, as a crash does.
     *
     * @param node its index
     */
    public void kill(int node) {
        running.set(node, false);
    }

    /**
     * Lets a node handle an event now; an event of a killed node is dropped.
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
            execute(node, effect);
        }
    }

    /**
     * Runs all scheduled actions up to a point in virtual time.
     *
     * @param untilMillis end of the run, in milliseconds of virtual time
     */
    public void runUntil(long untilMillis) {
        while (!queue.isEmpty() && queue.peek().atMillis() <= untilMillis) {
            ScheduledAction nextAction = queue.poll();
            nowMillis = nextAction.atMillis();
            nextAction.action().run();
        }
        nowMillis = untilMillis;
    }

    /**
     * Current virtual time.
     *
     * @return milliseconds since the start of the simulation
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
     * @return the number, including killed nodes
     */
    public int size() {
        return states.size();
    }

    /**
     * Effects of all nodes since the start, other than messages and changes of the view.
     *
     * @return the effects, in the order in which they occurred
     */
    public List<MembershipEffect> otherEffects() {
        return otherEffects;
    }

    /**
     * Returns and resets the number of bytes that each node has sent and received, including the
     * length field of each frame.
     *
     * @return bytes since the last call, by index of the node
     */
    public long[] takeBytes() {
        long[] taken = bytes;
        bytes = new long[states.size()];
        return taken;
    }

    private void runGossipRound(int node) {
        submit(node, new MembershipEvent.GossipDue(nowMillis, random.nextLong()));
        schedule(1_000, node, () -> runGossipRound(node));
    }

    private void execute(int node, MembershipEffect effect) {
        switch (effect) {
            case MembershipEffect.Request(var to, var message, var purpose, var timeout) -> {
                long token = ++lastSequence;
                pendingRequests.put(token, new PendingRequest(node, purpose));
                deliver(node, nodeByEndpoint.get(to), message, token);
                schedule(timeout, node, () -> timeOut(token));
            }
            case MembershipEffect.Send(var to, var message) ->
                    deliver(node, nodeByEndpoint.get(to), message, 0);
            case MembershipEffect.Reply(long token, var message) -> reply(node, token, message);
            case MembershipEffect.ViewChanged ignored -> {
                // The view is read from the state of the node.
            }
            default -> otherEffects.add(effect);
        }
    }

    private void deliver(int from, Integer to, ControlMessage message, long token) {
        int size = message.getSerializedSize() + FRAME_LENGTH_BYTES;
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
        PendingRequest request = pendingRequests.get(token);
        int size = message.getSerializedSize() + FRAME_LENGTH_BYTES;
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
                        if (pendingRequests.remove(token) != null) {
                            submit(
                                    request.node(),
                                    new MembershipEvent.ReplyReceived(request.purpose(), message));
                        }
                    });
        }
    }

    private void timeOut(long token) {
        PendingRequest request = pendingRequests.remove(token);
        if (request != null) {
            submit(request.node(), new MembershipEvent.RequestFailed(request.purpose()));
        }
    }

    private void schedule(long delayMillis, int node, Runnable action) {
        queue.add(
                new ScheduledAction(
                        nowMillis + delayMillis,
                        ++lastSequence,
                        node,
                        () -> {
                            if (running.get(node)) {
                                action.run();
                            }
                        }));
    }
}
