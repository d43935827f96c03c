package org.azureshed.directory;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.Endpoint;
import org.azureshed.model.TargetState;

/**
 * A node with its target, its restarts, the store and two other nodes, without a network. The
 * node's calls follow FleetSync and LocalTarget; the decisions are those of the product.
 */
final class DepartureModel {
    private static final Endpoint TARGET = Endpoint.parse("10.0.0.1:8301");
    private static final Endpoint HOST = Endpoint.parse("10.0.0.1:8300");
    private static final String NODE = "node";
    private static final String SERVICE = "shop";
    private static final long CLOCK_STEP_MILLIS = 3_000;

    /** A target that leaves and comes back under the same id needs longer than a clock step. */
    private static final long RESTART_MILLIS = 5_000;

    /** A change in the target, the node, the store, a clock or between nodes. */
    enum Step {
        HEARTBEAT,
        /** The target sends a heartbeat that is held up on its way. */
        HOLD_HEARTBEAT,
        DELIVER_LATE_HEARTBEAT,
        DRAIN,
        DEREGISTER,
        DEREGISTER_WITH_START,
        /** The target ends and starts again under its id. */
        NEW_START,
        /** The target ends, and another one starts at its address. */
        NEW_TARGET,
        RESTART,
        /** All processes end and start again; only the store keeps what it has. */
        RESTART_ALL,
        STORE_AWAY,
        STORE_BACK,
        /** A restarted node reads its former entry, if the store answers. */
        READ_STORE,
        /** A restarted node no longer waits for its former entry before it uses a target. */
        FORMER_WAIT_OVER,
        /** The store does not answer the next write, and does it later. */
        HOLD_WRITE,
        DO_LATE_WRITE,
        /** The node's entry arrives at another node, whose reply is lost. */
        SEND_TO_FIRST,
        SEND_TO_SECOND,
        EXCHANGE_WITH_FIRST,
        EXCHANGE_WITH_SECOND,
        EXCHANGE_OF_OTHERS,
        CLOCK_BACK,
        CLOCK_FORWARD
    }

    private record LateWrite(NodeEntry entry, long revision) {}

    /** One process of the node. */
    private static final class Process {
        private final TargetRegister register =
                new TargetRegister(TARGET, TimeUnit.DAYS.toNanos(1));
        private final Directory directory = new Directory();
        private final OwnEntry own;
        private final Map<String, Long> heard = new HashMap<>();

        /** The last start by target id of which a heartbeat arrived. */
        private final Map<String, Long> heartbeats = new HashMap<>();

        private boolean formerKnown;
        private boolean formerWaitOver;

        /** Revision that the node's next write replaces. */
        private long storedRevision;

        Process(long incarnation, boolean firstStart) {
            own =
                    new OwnEntry(
                            new NodeEntry(
                                    NODE,
                                    "az",
                                    HOST,
                                    incarnation,
                                    0,
                                    Optional.empty(),
                                    Departures.NONE));
            formerKnown = firstStart;
            directory.merge(own.entry());
        }
    }

    private final List<Directory> others = new ArrayList<>();
    private final Map<Directory, Map<String, Long>> heard = new IdentityHashMap<>();
    private final Deque<Heartbeat> lateHeartbeats = new ArrayDeque<>();

    /** Writes without an answer that the store has not done yet. */
    private final Deque<LateWrite> lateWrites = new ArrayDeque<>();

    /** Departures that were ever in the store. */
    private Departures storedDepartures = Departures.NONE;

    /** The last departed start by target id. */
    private final Map<String, Long> departed = new HashMap<>();

    private Process process;
    private Optional<NodeEntry> stored = Optional.empty();
    private long storeRevision;
    private boolean storeAway;
    private boolean holdNextWrite;
    private long trueMillis = 1_000_000;
    private long clockErrorMillis;
    private String id = "a";
    private int ids;
    private long startMillis = trueMillis;
    private long sequence;
    private boolean draining;
    private boolean left;

    /** Whether all nodes have heard of everything, so that every departure binds all of them. */
    private boolean settled;

    DepartureModel() {
        startOthers();
        process = new Process(nodeMillis(), true);
        write();
    }

    private long nodeMillis() {
        return trueMillis + clockErrorMillis;
    }

    /** Starts the other nodes, which list the store. */
    private void startOthers() {
        others.clear();
        heard.clear();
        for (int i = 0; i < 2; i++) {
            Directory other = new Directory();
            stored.ifPresent(other::merge);
            others.add(other);
            heard.put(other, new HashMap<>());
        }
    }

    void play(Step step) {
        settled = false;
        trueMillis += 100;
        switch (step) {
            case HEARTBEAT -> {
                if (!left) {
                    deliver(heartbeat(TargetState.READY));
                }
            }
            case HOLD_HEARTBEAT -> {
                if (!left && !draining) {
                    lateHeartbeats.add(heartbeat(TargetState.READY));
                }
            }
            case DELIVER_LATE_HEARTBEAT -> {
                if (!lateHeartbeats.isEmpty()) {
                    deliver(lateHeartbeats.poll());
                }
            }
            case DRAIN -> {
                if (!left) {
                    draining = true;
                    deliver(heartbeat(TargetState.DRAINING));
                    acknowledged();
                }
            }
            case DEREGISTER -> deregister(0);
            case DEREGISTER_WITH_START -> deregister(startMillis);
            case NEW_START -> begin(id);
            case NEW_TARGET -> begin("b" + ids++);
            case RESTART -> process = new Process(nodeMillis(), false);
            case RESTART_ALL -> {
                startOthers();
                process = new Process(nodeMillis(), false);
            }
            case STORE_AWAY -> storeAway = true;
            case STORE_BACK -> {
                storeAway = false;
                write();
            }
            case READ_STORE -> readStore();
            case FORMER_WAIT_OVER -> {
                process.formerWaitOver = true;
                publish();
            }
            case HOLD_WRITE -> holdNextWrite = true;
            case DO_LATE_WRITE -> {
                if (!lateWrites.isEmpty() && lateWrites.peek().revision() == storeRevision) {
                    put(lateWrites.peek().entry());
                }
                lateWrites.poll();
            }
            case SEND_TO_FIRST -> others.get(0).merge(process.own.entry());
            case SEND_TO_SECOND -> others.get(1).merge(process.own.entry());
            case EXCHANGE_WITH_FIRST -> exchange(others.get(0));
            case EXCHANGE_WITH_SECOND -> exchange(others.get(1));
            case EXCHANGE_OF_OTHERS -> {
                List.copyOf(others.get(0).nodes()).forEach(others.get(1)::merge);
                List.copyOf(others.get(1).nodes()).forEach(others.get(0)::merge);
                // Each now knows what the other one knew, however old the entry that told it.
                heard.get(others.get(0)).putAll(heard.get(others.get(1)));
                heard.get(others.get(1)).putAll(heard.get(others.get(0)));
            }
            case CLOCK_BACK -> clockErrorMillis = -CLOCK_STEP_MILLIS;
            case CLOCK_FORWARD -> clockErrorMillis = CLOCK_STEP_MILLIS;
            default -> throw new IllegalArgumentException("unknown step " + step);
        }
        noteWhatIsHeard();
    }

    /** Ends all disturbances and lets everybody hear of everything. */
    void settle() {
        storeAway = false;
        clockErrorMillis = 0;
        holdNextWrite = false;
        readStore();
        write();
        for (int round = 0; round < 2; round++) {
            others.forEach(this::exchange);
        }
        settled = true;
        noteWhatIsHeard();
    }

    private Heartbeat heartbeat(TargetState state) {
        return new Heartbeat(id, startMillis, ++sequence, TARGET, SERVICE, 4, state, 0);
    }

    private void deliver(Heartbeat heartbeat) {
        process.heartbeats.merge(heartbeat.id(), heartbeat.startMillis(), Math::max);
        process.register.apply(heartbeat, 0);
        publish();
    }

    private void deregister(long start) {
        if (left) {
            return;
        }
        left = true;
        // A target younger than the clock step is the limit that docs/platform.md names.
        boolean clockHidesStart = nodeMillis() < startMillis;
        process.register.depart(id, clockHidesStart ? startMillis : start, nodeMillis());
        publish();
        acknowledged();
    }

    private void begin(String newId) {
        trueMillis += RESTART_MILLIS;
        id = newId;
        startMillis = trueMillis;
        sequence = 0;
        draining = false;
        left = false;
    }

    /** Notes a departure. It is acknowledged whether anybody else could be told or not. */
    private void acknowledged() {
        departed.merge(id, startMillis, Math::max);
    }

    /** Publishes the state of the register, as LocalTarget does after each change. */
    private void publish() {
        process.own.addDepartures(process.register.departures());
        Optional<TargetEntry> target =
                process.formerKnown || process.formerWaitOver
                        ? process.register.current(0)
                        : Optional.empty();
        if (!process.own.entry().target().equals(target)) {
            process.own.setTarget(target);
        }
        process.directory.merge(process.own.entry());
        write();
    }

    private void write() {
        if (storeAway || !process.formerKnown) {
            return;
        }
        if (holdNextWrite) {
            // Repeated with the next change.
            holdNextWrite = false;
            lateWrites.add(new LateWrite(process.own.entry(), process.storedRevision));
            return;
        }
        if (process.storedRevision != storeRevision) {
            // The conflict tells the entry; what is learnt from it is published and written.
            process.storedRevision = storeRevision;
            receive(stored.orElseThrow());
            return;
        }
        put(process.own.entry());
        process.storedRevision = storeRevision;
    }

    private void put(NodeEntry entry) {
        stored = Optional.of(entry);
        storeRevision++;
        storedDepartures = storedDepartures.union(entry.departures());
    }

    /** Whether the store has lost a departure that it had. */
    boolean storeHasLostADeparture() {
        return !stored.map(NodeEntry::departures)
                .orElse(Departures.NONE)
                .containsAll(storedDepartures);
    }

    private void readStore() {
        if (!storeAway && !process.formerKnown) {
            process.storedRevision = storeRevision;
            stored.ifPresent(this::receive);
            process.formerKnown = true;
            publish();
        }
    }

    /** A digest exchange that finds a difference: both sides merge all entries of the other one. */
    private void exchange(Directory other) {
        process.directory.merge(process.own.entry());
        List<NodeEntry> sent = new ArrayList<>(process.directory.nodes());
        List<NodeEntry> reply = new ArrayList<>(other.nodes());
        sent.forEach(other::merge);
        reply.forEach(this::receive);
        // The other side answers with what it knows beyond the received entries.
        List.copyOf(other.nodes()).forEach(this::receive);
        List.copyOf(process.directory.nodes()).forEach(other::merge);
    }

    /** Follows FleetSync#mergeEntry. */
    private void receive(NodeEntry entry) {
        OwnEntry.News news = process.own.compare(entry);
        process.register.adopt(news.departures());
        if (!process.formerKnown) {
            news.previousTarget().ifPresent(target -> process.register.learn(target));
        }
        if (news.superseding()) {
            process.own.raiseAbove(entry);
        }
        publish();
    }

    /**
     * Returns the departed starts that some node would use although it has heard of the departure:
     * the register of the node itself, or a directory. The node itself may use only starts that
     * have told it that they serve; such a heartbeat may be late, at a process that cannot know of
     * the departure.
     */
    Set<String> departedStartsInUse() {
        Set<String> inUse = new LinkedHashSet<>();
        process.register
                .current(0)
                .filter(target -> target.condition().usable())
                .filter(
                        target ->
                                hasDeparted(process.heard, target)
                                        || hasDeparted(departed, target)
                                                && !hasDeparted(process.heartbeats, target))
                .ifPresent(target -> inUse.add("register: " + target.id()));
        inUse.addAll(departedIn(process.directory, process.heard));
        for (Directory other : others) {
            inUse.addAll(departedIn(other, heard.get(other)));
        }
        return inUse;
    }

    /** Notes which departures each node has heard of; it must never forget them. */
    private void noteWhatIsHeard() {
        noteHeard(process.register.departures(), process.heard);
        for (Directory other : others) {
            other.node(NODE).ifPresent(entry -> noteHeard(entry.departures(), heard.get(other)));
        }
    }

    private void noteHeard(Departures departures, Map<String, Long> heardDepartures) {
        departed.forEach(
                (target, start) -> {
                    if (settled && isKnown(target, start) || departures.covers(target, start)) {
                        heardDepartures.merge(target, start, Math::max);
                    }
                });
    }

    /** Whether the store or any process remembers a departure. */
    private boolean isKnown(String target, long start) {
        return storedDepartures.covers(target, start)
                || process.register.departures().covers(target, start)
                || others.stream()
                        .flatMap(other -> other.node(NODE).stream())
                        .anyMatch(entry -> entry.departures().covers(target, start));
    }

    private static boolean hasDeparted(Map<String, Long> departures, TargetEntry target) {
        return target.startMillis() <= departures.getOrDefault(target.id(), Long.MIN_VALUE);
    }

    private static Set<String> departedIn(Directory directory, Map<String, Long> departures) {
        Set<String> found = new LinkedHashSet<>();
        for (NodeEntry entry : directory.usable(SERVICE)) {
            TargetEntry target = entry.target().orElseThrow();
            if (hasDeparted(departures, target)) {
                found.add(target.id() + " of " + target.startMillis());
            }
        }
        return found;
    }

    boolean currentStartIsUsableEverywhere() {
        List<Directory> all = new ArrayList<>(others);
        all.add(process.directory);
        return all.stream()
                .allMatch(
                        directory ->
                                directory.usable(SERVICE).stream()
                                        .map(entry -> entry.target().orElseThrow())
                                        .anyMatch(
                                                target ->
                                                        target.id().equals(id)
                                                                && target.startMillis()
                                                                        == startMillis));
    }
}
