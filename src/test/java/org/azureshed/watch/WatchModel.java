package org.azureshed.watch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import java.util.function.LongFunction;

/**
 * Plays the watches of a fleet against a store on simulated time. The store loses answers on
 * connections that stay open, refuses calls, answers nothing, answers late or drops its history.
 * Digests between nodes are left out, so that nothing but the watches and what they tell each other
 * brings a change.
 */
final class WatchModel {
    /** Time in which a confirmed change must be in force at a sound node. */
    static final long IN_FORCE_MILLIS = 2_000;

    /** Time after which the client gives up a call, beyond the wait of a watch. */
    private static final long CLIENT_TIMEOUT_MILLIS = 1_500;

    private static final long SLOW_MILLIS = 260;
    private static final long RESTART_MILLIS = 700;

    /** Distances in the order of the nodes at which a few nodes are told. */
    private static final int[] TOLD_DISTANCES = {1, 2, 8};

    /** One thing that happens; what lasts ends by itself. */
    sealed interface Step {
        /** Time passes. */
        record Pass(long millis) implements Step {}

        /** The operator stores a configuration. */
        record Change() implements Step {}

        /** The store carries out the calls of some nodes and loses the answers. */
        record LoseAnswers(int share, long millis) implements Step {}

        /** The store refuses the calls of some nodes and breaks off their watches. */
        record Refuse(int share, long millis) implements Step {}

        /** The store takes calls and does nothing; watches that wait are answered afterwards. */
        record Silence(long millis) implements Step {}

        /** Answers take long. */
        record Slow(long millis) implements Step {}

        /** The idle connections of some nodes carry nothing further. */
        record StallIdle(int share) implements Step {}

        /** The store forgets its history and answers waiting watches so. */
        record DropHistory() implements Step {}

        /** Some nodes are killed and start again. */
        record Kill(int share) implements Step {}

        /** All must be in force a short time after the last change and trouble. */
        record Check() implements Step {}
    }

    private record Event(long millis, long order, Runnable action) {}

    /** A call under way; the connection is silent if its answer cannot arrive. */
    private final class Call {
        private final Node node;
        private final long number;
        private final long watchedRevision;
        private final long endMillis;
        private final boolean watch;
        private final boolean silentConnection;
        private final int epoch;
        private boolean ended;

        Call(Node node, long number, boolean watch, long revision, long waitMillis) {
            this.node = node;
            this.epoch = node.epoch;
            this.number = number;
            this.watch = watch;
            this.watchedRevision = revision;
            this.endMillis = now + waitMillis;
            this.silentConnection = !node.idleSilent.isEmpty() && node.idleSilent.pop();
            after(
                    waitMillis + CLIENT_TIMEOUT_MILLIS,
                    () -> end(new WatchEvent.Failed(number), false));
        }

        /** The store answers; the answer is lost if the trouble says so. */
        void answer(LongFunction<WatchEvent> event, long versionInAnswer) {
            if (silentConnection || loss.affects(node.index)) {
                return;
            }
            after(
                    latency() + (slow.active() ? SLOW_MILLIS : 0),
                    () -> {
                        node.version = Math.max(node.version, versionInAnswer);
                        end(event.apply(node.version), true);
                    });
        }

        private void end(WatchEvent event, boolean reusable) {
            if (!ended && node.epoch == epoch) {
                ended = true;
                if (reusable) {
                    node.idleSilent.push(false);
                }
                node.handle(event);
            }
        }
    }

    private final class Node {
        private final int index;
        private final Deque<Boolean> idleSilent = new ArrayDeque<>();
        private StoreWatch watch;
        private long version;
        private boolean alive;
        private int epoch;
        private long timerOrder;

        Node(int index) {
            this.index = index;
        }

        void start() {
            alive = true;
            version = 0;
            idleSilent.clear();
            watch = new StoreWatch(timing, random::nextDouble);
            handle(new WatchEvent.Started());
        }

        void kill() {
            alive = false;
            epoch++;
        }

        void handle(WatchEvent event) {
            if (!alive) {
                return;
            }
            long nowNanos = TimeUnit.MILLISECONDS.toNanos(now);
            FleetPosition position = new FleetPosition(index, nodes.size());
            for (WatchEffect effect : watch.handle(event, position, nowNanos)) {
                execute(effect);
            }
        }

        private void execute(WatchEffect effect) {
            switch (effect) {
                case WatchEffect.ListNow list -> send(new Call(this, list.call(), false, 0, 0));
                case WatchEffect.WatchNow next ->
                        send(new Call(this, next.call(), true, next.revision(), next.waitMillis()));
                case WatchEffect.DropIdleConnections ignored -> idleSilent.clear();
                case WatchEffect.TellNodes tell -> tell(tell.version());
                case WatchEffect.SetTimer timer -> setTimer(timer.nanos());
            }
        }

        private void setTimer(long nanos) {
            long order = ++timerOrder;
            int setIn = epoch;
            long delay = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos) - now);
            after(
                    delay,
                    () -> {
                        if (order == timerOrder && setIn == epoch) {
                            handle(new WatchEvent.TimerFired());
                        }
                    });
        }

        private void tell(long told) {
            for (int distance : nodesTalk ? TOLD_DISTANCES : new int[0]) {
                Node node = nodes.get((index + distance) % nodes.size());
                after(latency(), () -> node.handle(new WatchEvent.KnownElsewhere(told)));
            }
        }
    }

    /** A trouble of the store for a share of the nodes, until a time. */
    private final class Trouble {
        private long endMillis;
        private IntPredicate affected = node -> true;

        void begin(int share, long millis) {
            endMillis = now + millis;
            affected = drawNodes(share);
            troubleEndMillis = Math.max(troubleEndMillis, endMillis);
        }

        boolean active() {
            return now < endMillis;
        }

        boolean affects(int node) {
            return active() && affected.test(node);
        }
    }

    private final WatchTiming timing;
    private final boolean nodesTalk;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::millis).thenComparingLong(Event::order));
    private final List<Node> nodes = new ArrayList<>();
    private final List<Call> waitingWatches = new ArrayList<>();
    private final List<Call> silencedCalls = new ArrayList<>();
    private final Trouble loss = new Trouble();
    private final Trouble refusal = new Trouble();
    private final Trouble silence = new Trouble();
    private final Trouble slow = new Trouble();
    private long now;
    private long order;
    private long revision = 10;
    private long oldestRevision = 10;
    private long changedRevision = 10;
    private long version = 1;
    private long changeMillis;
    private long troubleEndMillis;
    private int calls;

    WatchModel(int size, WatchTiming timing, boolean nodesTalk, long seed) {
        this.timing = timing;
        this.nodesTalk = nodesTalk;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(node -> after(random.nextLong(300), node::start));
        pass(1_000);
    }

    int calls() {
        return calls;
    }

    void play(Step step) {
        switch (step) {
            case Step.Pass passing -> pass(passing.millis());
            case Step.Change ignored -> change();
            case Step.LoseAnswers lost -> loss.begin(lost.share(), lost.millis());
            case Step.Refuse refused -> refuse(refused);
            case Step.Silence silent -> silence(silent.millis());
            case Step.Slow slowed -> slow.begin(100, slowed.millis());
            case Step.StallIdle stalled -> stallIdle(stalled.share());
            case Step.DropHistory ignored -> dropHistory();
            case Step.Kill killed -> kill(killed.share());
            case Step.Check ignored -> check();
        }
    }

    /** Returns the nodes at which the last change is not in force. */
    List<Integer> lagging() {
        return nodes.stream()
                .filter(node -> node.alive && node.version < version)
                .map(node -> node.index)
                .toList();
    }

    /** Returns the time until the last change is in force at all nodes. */
    long millisUntilInForce(long limitMillis) {
        long start = now;
        while (!lagging().isEmpty() && now - start < limitMillis) {
            pass(10);
        }
        return now - start;
    }

    private void check() {
        long dueMillis = Math.max(changeMillis, troubleEndMillis) + IN_FORCE_MILLIS;
        pass(Math.max(0, dueMillis - now));
        if (!lagging().isEmpty()) {
            throw new AssertionError("version " + version + " is not in force at " + lagging());
        }
    }

    void pass(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().millis() <= end) {
            Event event = events.poll();
            now = event.millis();
            event.action().run();
        }
        now = end;
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(now + millis, order++, action));
    }

    private long latency() {
        return 2 + random.nextLong(5);
    }

    private IntPredicate drawNodes(int share) {
        List<Integer> drawn =
                nodes.stream()
                        .map(node -> node.index)
                        .filter(index -> random.nextInt(100) < share)
                        .toList();
        return share >= 100 ? index -> true : drawn::contains;
    }

    private void send(Call call) {
        calls++;
        after(latency(), () -> arrive(call));
    }

    private void arrive(Call call) {
        if (call.silentConnection || silence.active()) {
            return;
        }
        if (refusal.affects(call.node.index)) {
            call.answer(active -> new WatchEvent.Failed(call.number), 0);
        } else if (!call.watch) {
            call.answer(listing(call.number, revision), version);
        } else if (!answerWatch(call)) {
            waitingWatches.add(call);
            after(Math.max(0, call.endMillis - now), () -> waitEnded(call));
        }
    }

    private static LongFunction<WatchEvent> listing(long call, long revision) {
        return version -> new WatchEvent.Listed(call, revision, version);
    }

    private static LongFunction<WatchEvent> changes(long call, long revision, boolean any) {
        return version -> new WatchEvent.Watched(call, revision, any, version);
    }

    private boolean answerWatch(Call call) {
        if (call.watchedRevision < oldestRevision) {
            call.answer(active -> new WatchEvent.HistoryGone(call.number), 0);
            return true;
        }
        if (changedRevision > call.watchedRevision) {
            call.answer(changes(call.number, revision, true), version);
            return true;
        }
        return false;
    }

    private void waitEnded(Call call) {
        if (waitingWatches.remove(call)) {
            if (silence.active()) {
                silencedCalls.add(call);
            } else if (!answerWatch(call)) {
                call.answer(changes(call.number, revision, false), 0);
            }
        }
    }

    private void change() {
        version++;
        revision++;
        changedRevision = revision;
        changeMillis = now;
        answerWaiting();
    }

    private void answerWaiting() {
        if (!silence.active()) {
            waitingWatches.removeIf(this::answerWatch);
            silencedCalls.removeIf(this::answerWatch);
        }
    }

    private void refuse(Step.Refuse refused) {
        refusal.begin(refused.share(), refused.millis());
        for (Call call : List.copyOf(waitingWatches)) {
            if (refusal.affects(call.node.index)) {
                waitingWatches.remove(call);
                call.answer(active -> new WatchEvent.Failed(call.number), 0);
            }
        }
    }

    private void silence(long millis) {
        silence.begin(100, millis);
        after(millis + 1, this::answerWaiting);
    }

    private void stallIdle(int share) {
        IntPredicate drawn = drawNodes(share);
        for (Node node : nodes) {
            if (drawn.test(node.index)) {
                int idle = node.idleSilent.size();
                node.idleSilent.clear();
                for (int i = 0; i < idle; i++) {
                    node.idleSilent.push(true);
                }
            }
        }
        troubleEndMillis = Math.max(troubleEndMillis, now);
    }

    private void dropHistory() {
        revision++;
        oldestRevision = revision;
        answerWaiting();
    }

    private void kill(int share) {
        IntPredicate drawn = drawNodes(share);
        for (Node node : nodes) {
            if (node.alive && drawn.test(node.index)) {
                node.kill();
                waitingWatches.removeIf(call -> call.node == node);
                silencedCalls.removeIf(call -> call.node == node);
                after(RESTART_MILLIS, node::start);
            }
        }
        troubleEndMillis = Math.max(troubleEndMillis, now + RESTART_MILLIS);
    }
}
