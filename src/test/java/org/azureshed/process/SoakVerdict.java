package org.azureshed.process;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** Judges a finished soak: what callers were told against what targets have run. */
final class SoakVerdict {
    /** A refusal with one of these promises that the request has not run and never will. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private SoakVerdict() {}

    static void judge(SoakJournal journal) {
        for (Map.Entry<String, List<SoakJournal.Run>> entry : journal.allRuns().entrySet()) {
            judgeRuns(journal, entry.getKey(), entry.getValue());
        }
        for (SoakJournal.Call call : journal.calls()) {
            judgeCall(journal, call);
        }
    }

    private static void judgeRuns(SoakJournal journal, String id, List<SoakJournal.Run> runs) {
        String path = runs.getFirst().path();
        if (once(path) && runs.size() > 1) {
            journal.violated("twice", id + " in " + runs);
        }
        boolean kiosk = runs.getFirst().node() % 3 == 2;
        if (path.startsWith("/kiosk/") != kiosk) {
            journal.violated("route", id + " in " + runs);
        }
    }

    private static void judgeCall(SoakJournal journal, SoakJournal.Call call) {
        List<SoakJournal.Run> runs = journal.runs(call.id());
        if (once(call.path()) && PROMISES.contains(call.status()) && !runs.isEmpty()) {
            journal.violated("refused", call + " in " + runs);
        }
        if (call.status() == 0 && !runs.isEmpty() && onlyPlanned(journal, call, runs)) {
            journal.violated("lost", call + " in " + runs);
        }
    }

    private static boolean once(String path) {
        return path.startsWith("/write/") || path.startsWith("/kiosk/");
    }

    /** Whether nothing but planned work happened where the request passed. */
    private static boolean onlyPlanned(
            SoakJournal journal, SoakJournal.Call call, List<SoakJournal.Run> runs) {
        boolean calm = planned(journal, call.node(), call);
        for (SoakJournal.Run run : runs) {
            calm &= planned(journal, run.node(), call);
        }
        return calm;
    }

    private static boolean planned(SoakJournal journal, int node, SoakJournal.Call call) {
        return journal.during(node, call.sentNanos(), call.endNanos()).stream()
                .allMatch(SoakJournal.Disturbance::planned);
    }
}
