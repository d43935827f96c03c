package org.azureshed.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What callers, targets, the operator and the store saw, with times in virtual milliseconds. */
final class Journal {
    /** Time after a disturbance until a node counts as undisturbed, as in the platform's rules. */
    static final long SETTLING_MILLIS = 3_000;

    /** Index of disturbances of the store. */
    static final int STORE = -1;

    /**
     * A caller's request.
     *
     * @param node node that it was sent to
     * @param repeatable whether its route allows it to run more than once
     * @param target path and query
     * @param timeoutMillis timeout of its route
     */
    record Sent(
            String id,
            int node,
            boolean repeatable,
            String method,
            String target,
            String body,
            long timeoutMillis,
            long atMillis) {}

    /** How a request ended for its caller. */
    enum End {
        /** A whole answer arrived. */
        ANSWERED,
        /** The connection was refused, closed or reset before the end of an answer. */
        BROKEN,
        /** The caller left. */
        LEFT
    }

    /**
     * End of a request.
     *
     * @param answer the answer; null if there is none
     * @param readLate whether the caller has left bytes unread for some time
     */
    record Ended(Sent sent, End end, HttpReader.Message answer, boolean readLate, long atMillis) {}

    /**
     * A run of a request at a target.
     *
     * @param target name and start of the target
     * @param node node beside the target
     * @param service service of the target
     * @param number identifies the run; its answer bears it as the signature
     * @param sound whether the target gives a whole answer in time
     */
    record Run(
            String target,
            int node,
            String service,
            int number,
            HttpReader.Message request,
            int status,
            String body,
            boolean sound,
            long atMillis) {}

    /** An acknowledged departure of a target. */
    record Departure(String target, int node, long processStartMillis, long atMillis) {}

    /**
     * Time in which a node had acknowledged its target and the target was there.
     *
     * @param untilMillis end of the target; {@link Long#MAX_VALUE} if it has not ended
     */
    record Tenure(int node, String service, long fromMillis, long untilMillis) {}

    /** A version of the configuration and when the store accepted it. */
    record Version(long number, long atMillis) {}

    /** Time in which a node, its links or the store were disturbed. */
    record Disturbance(int node, boolean planned, long fromMillis, long untilMillis) {}

    /** A broken rule. */
    record Violation(String rule, String details) {}

    private final Map<String, Sent> sent = new HashMap<>();
    private final List<Ended> ended = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    private final Map<String, List<Run>> runsById = new HashMap<>();
    private final List<Departure> departures = new ArrayList<>();
    private final List<Tenure> tenures = new ArrayList<>();
    private final List<Version> versions = new ArrayList<>();
    private final List<Disturbance> disturbances = new ArrayList<>();
    private final List<Violation> violations = new ArrayList<>();

    void sent(Sent request) {
        sent.put(request.id(), request);
    }

    void ended(Ended request) {
        ended.add(request);
    }

    void run(Run run) {
        runs.add(run);
        runsById.computeIfAbsent(run.request().requestId(), id -> new ArrayList<>()).add(run);
    }

    int runCount() {
        return runs.size();
    }

    void departure(Departure departure) {
        departures.add(departure);
    }

    void tenure(Tenure tenure) {
        tenures.add(tenure);
    }

    /** Ends the current tenure of a node's target, if there is one. */
    void endTenure(int node, long atMillis) {
        tenures.replaceAll(
                each ->
                        each.node() == node && each.untilMillis() == Long.MAX_VALUE
                                ? new Tenure(node, each.service(), each.fromMillis(), atMillis)
                                : each);
    }

    List<Tenure> tenures() {
        return tenures;
    }

    void version(Version version) {
        versions.add(version);
    }

    void disturbance(Disturbance disturbance) {
        disturbances.add(disturbance);
    }

    void violation(String rule, String details) {
        violations.add(new Violation(rule, details));
    }

    Sent sent(String id) {
        return sent.get(id);
    }

    List<Ended> ended() {
        return ended;
    }

    List<Run> runs() {
        return runs;
    }

    List<Run> runs(String id) {
        return runsById.getOrDefault(id, List.of());
    }

    List<Departure> departures() {
        return departures;
    }

    List<Version> versions() {
        return versions;
    }

    List<Violation> violations() {
        return violations;
    }

    /** Times at which planned stops of a node began. */
    List<Long> stops(int node) {
        return disturbances.stream()
                .filter(each -> each.node() == node && each.planned())
                .map(Disturbance::fromMillis)
                .toList();
    }

    /** Whether nothing disturbed a node or the store, from the settling time before a period. */
    boolean undisturbed(int node, long fromMillis, long untilMillis) {
        return disturbances.stream()
                .noneMatch(each -> each.node() == node && overlaps(each, fromMillis, untilMillis));
    }

    /** Whether only planned work disturbed a node, from the settling time before a period. */
    boolean onlyPlanned(int node, long fromMillis, long untilMillis) {
        return disturbances.stream()
                .filter(each -> each.node() == node && overlaps(each, fromMillis, untilMillis))
                .allMatch(Disturbance::planned);
    }

    private static boolean overlaps(Disturbance each, long fromMillis, long untilMillis) {
        return each.fromMillis() <= untilMillis
                && each.untilMillis() + SETTLING_MILLIS >= fromMillis;
    }
}
