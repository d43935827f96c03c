package org.azureshed.process;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks a finished soak run: compares what callers were told with what targets have run. */
final class SoakChecker {
    /**
     * A response with one of these statuses promises that the request has not run and never will.
     */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private SoakChecker() {}

    static void check(SoakJournal journal) {
        for (Map.Entry<String, List<SoakJournal.Run>> entry : journal.allRuns().entrySet()) {
            checkRuns(journal, entry.getKey(), entry.getValue());
        }
        for (SoakJournal.Call call : journal.calls()) {
            checkCall(journal, call);
        }
    }

    private static void checkRuns(SoakJournal journal, String id, List<SoakJournal.Run> runs) {
        String path = runs.getFirst().path();
        if (mustRunAtMostOnce(path) && runs.size() > 1) {
            journal.recordViolation("twice", id + " in " + runs);
        }
        boolean atKioskNode = runs.getFirst().node() % 3 == 2;
        if (path.startsWith("/kiosk/") != atKioskNode) {
            journal.recordViolation("route", id + " in " + runs);
        }
    }

    private static void checkCall(SoakJournal journal, SoakJournal.Call call) {
        List<SoakJournal.Run> runs = journal.runs(call.id());
        if (mustRunAtMostOnce(call.path())
                && NOT_RUN_STATUSES.contains(call.status())
                && !runs.isEmpty()) {
            journal.recordViolation("refused", call + " in " + runs);
        }
        if (call.status() == 0 && !runs.isEmpty() && onlyPlannedWork(journal, call, runs)) {
            journal.recordViolation("lost", call + " in " + runs);
        }
    }

    private static boolean mustRunAtMostOnce(String path) {
        return path.startsWith("/write/") || path.startsWith("/kiosk/");
    }

    /**
     * Whether the nodes that handled the request were disturbed by nothing but planned operations.
     */
    private static boolean onlyPlannedWork(
            SoakJournal journal, SoakJournal.Call call, List<SoakJournal.Run> runs) {
        boolean onlyPlanned = onlyPlannedWorkAt(journal, call.node(), call);
        for (SoakJournal.Run run : runs) {
            onlyPlanned &= onlyPlannedWorkAt(journal, run.node(), call);
        }
        return onlyPlanned;
    }

    private static boolean onlyPlannedWorkAt(SoakJournal journal, int node, SoakJournal.Call call) {
        return journal.disturbancesDuring(node, call.sentNanos(), call.endNanos()).stream()
                .allMatch(SoakJournal.Disturbance::planned);
    }
}
