package org.azureshed.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** What a soak has done and seen, with times on its monotonic clock. Thread-safe. */
final class SoakJournal {
    /** A node counts as undisturbed again after this time, as the platform's rules do. */
    static final long SETTLING_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final int MAX_VIOLATIONS = 50;

    /** Run of a request at a target. */
    record Run(String target, int node, String path, long atNanos) {}

    /** What a caller saw; status 0 if the connection ended without an answer. */
    record Call(int node, String path, String id, long sentNanos, long endNanos, int status) {}

    /** A time in which something was not as usual; planned work cuts nobody off. */
    record Disturbance(String what, int node, boolean planned, long fromNanos, long untilNanos) {}

    /** Names a disturbance of the whole fleet, such as one of the store. */
    static final int ALL_NODES = -1;

    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final List<Disturbance> disturbances = new CopyOnWriteArrayList<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();

    void ran(String id, Run run) {
        runs.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(run);
    }

    List<Run> runs(String id) {
        return runs.getOrDefault(id, List.of());
    }

    Map<String, List<Run>> allRuns() {
        return runs;
    }

    void called(Call call) {
        calls.add(call);
    }

    List<Call> calls() {
        return new ArrayList<>(calls);
    }

    /** Records a disturbance that starts now; its end is not known yet. */
    Disturbance disturb(String what, int node, boolean planned) {
        Disturbance started =
                new Disturbance(what, node, planned, System.nanoTime(), Long.MAX_VALUE);
        disturbances.add(started);
        return started;
    }

    /** Records the end of a disturbance. */
    void ended(Disturbance started) {
        disturbances.add(
                new Disturbance(
                        started.what(),
                        started.node(),
                        started.planned(),
                        started.fromNanos(),
                        System.nanoTime()));
        disturbances.remove(started);
    }

    /** Disturbances of a node, or of the whole fleet, that may still have had an effect. */
    List<Disturbance> during(int node, long fromNanos, long untilNanos) {
        return disturbances.stream()
                .filter(one -> one.node() == node || one.node() == ALL_NODES)
                .filter(one -> one.fromNanos() <= untilNanos)
                .filter(
                        one ->
                                one.untilNanos() == Long.MAX_VALUE
                                        || one.untilNanos() + SETTLING_NANOS >= fromNanos)
                .toList();
    }

    /** Whether a node, its links and the store were undisturbed. */
    boolean calm(int node, long fromNanos, long untilNanos) {
        return during(node, fromNanos, untilNanos).isEmpty();
    }

    void violated(String rule, String details) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(rule + ": " + details);
        }
    }

    List<String> violations() {
        return violations;
    }
}
