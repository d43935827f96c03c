package org.azureshed.bench;

import java.util.ArrayDeque;
import java.util.Iterator;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.TargetState;

/** Newest outcomes of a simulated target, kept for its load report as the host side keeps them. */
final class RecentOutcomes {
    /** Samples behind the median and error share of a load report. */
    private static final int WINDOW = 64;

    /** Age from which a sample no longer counts. */
    private static final long MAX_AGE_MICROS = 30_000_000;

    private record Outcome(long atMicros, long micros, boolean failed) {}

    private final ArrayDeque<Outcome> outcomes = new ArrayDeque<>();
    private final ArrayDeque<Outcome> times = new ArrayDeque<>();

    /** Records a request; the time of a failed or long one is not part of the median. */
    void add(long nowMicros, long micros, boolean failed, boolean longRunning) {
        Outcome outcome = new Outcome(nowMicros, micros, failed);
        keep(outcomes, outcome);
        if (!failed && !longRunning) {
            keep(times, outcome);
        }
    }

    LoadReport report(FleetSimulation.Target target, int longInFlight, long nowMicros) {
        drop(outcomes, nowMicros);
        drop(times, nowMicros);
        long failures = outcomes.stream().filter(Outcome::failed).count();
        long[] sorted = times.stream().mapToLong(Outcome::micros).sorted().toArray();
        return new LoadReport(
                target.running,
                longInFlight,
                target.slots,
                target.queue.size(),
                TargetState.READY,
                sorted.length == 0 ? 0 : sorted[sorted.length / 2],
                outcomes.isEmpty() ? 0 : (double) failures / outcomes.size(),
                outcomes.size());
    }

    private static void keep(ArrayDeque<Outcome> held, Outcome outcome) {
        held.addLast(outcome);
        if (held.size() > WINDOW) {
            held.removeFirst();
        }
    }

    private static void drop(ArrayDeque<Outcome> held, long nowMicros) {
        Iterator<Outcome> oldest = held.iterator();
        while (oldest.hasNext() && nowMicros - oldest.next().atMicros() > MAX_AGE_MICROS) {
            oldest.remove();
        }
    }
}
