package org.azureshed.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Records the events of a soak run, with times of the monotonic clock. Thread-safe. */
final class SoakJournal {
    /** Time after a disturbance until a node counts as undisturbed, as in the platform's rules. */
    static final long SETTLING_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final int MAX_VIOLATIONS = 50;

    /** An execution of a request at a target. */
    record Run(String target, int node, String path, long atNanos) {}

    /** A call and its result; the status is 0 if the connection ended without a response. */
    record Call(int node, String path, String id, long sentNanos, long endNanos, int status) {}

    /** The period of a fault or planned operation. Planned ones must not interrupt any request. */
    record Disturbance(
            String description, int node, boolean planned, long fromNanos, long untilNanos) {}

    /** Node index of a disturbance that affects all nodes, such as one of the store. */
    static final int ALL_NODES = -1;

    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final List<Disturbance> disturbances = new CopyOnWriteArrayList<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();

    void recordRun(String id, Run run) {
        runs.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(run);
    }

    List<Run> runs(String id) {
        return runs.getOrDefault(id, List.of());
    }

    Map<String, List<Run>> allRuns() {
        return runs;
    }

    void recordCall(Call call) {
        calls.add(call);
    }

    List<Call> calls() {
        return new ArrayList<>(calls);
    }

    /** Records a disturbance that starts now; its end is not known yet. */
    Disturbance beginDisturbance(String description, int node, boolean planned) {
        Disturbance disturbance =
                new Disturbance(description, node, planned, System.nanoTime(), Long.MAX_VALUE);
        disturbances.add(disturbance);
        return disturbance;
    }

    void endDisturbance(Disturbance disturbance) {
        disturbances.add(
                new Disturbance(
                        disturbance.description(),
                        disturbance.node(),
                        disturbance.planned(),
                        disturbance.fromNanos(),
                        System.nanoTime()));
        disturbances.remove(disturbance);
    }

    /**
     * Returns the disturbances of a node or of all nodes that overlap a period. Each lasts until
     * the settling time after its end.
     */
    List<Disturbance> disturbancesDuring(int node, long fromNanos, long untilNanos) {
        return disturbances.stream()
                .filter(
                        disturbance ->
                                disturbance.node() == node || disturbance.node() == ALL_NODES)
                .filter(disturbance -> disturbance.fromNanos() <= untilNanos)
                .filter(
                        disturbance ->
                                disturbance.untilNanos() == Long.MAX_VALUE
                                        || disturbance.untilNanos() + SETTLING_NANOS >= fromNanos)
                .toList();
    }

    /** Whether nothing disturbed a node, its links or the store in a period. */
    boolean undisturbed(int node, long fromNanos, long untilNanos) {
        return disturbancesDuring(node, fromNanos, untilNanos).isEmpty();
    }

    void recordViolation(String rule, String details) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(rule + ": " + details);
        }
    }

    List<String> violations() {
        return violations;
    }
}
