package org.azureshed.bench;

import java.util.ArrayDeque;
import java.util.Iterator;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.TargetState;

/**
 * Outcomes of the latest requests of a simulated target, for its load report. Window and age limit
 * are those of the host side's admission.
 */
final class RecentOutcomes {
    /** Number of samples that the median and the error share of a load report are computed from. */
    private static final int WINDOW_SAMPLES = 64;

    /** Older samples are dropped. */
    private static final long MAX_AGE_MICROS = 30_000_000;

    private record Outcome(long endedAtMicros, long durationMicros, boolean failed) {}

    private final ArrayDeque<Outcome> outcomes = new ArrayDeque<>();
    private final ArrayDeque<Outcome> shortSuccesses = new ArrayDeque<>();

    /** Records a request. The median excludes service times of failed and long-running requests. */
    void add(long nowMicros, long durationMicros, boolean failed, boolean longRunning) {
        Outcome outcome = new Outcome(nowMicros, durationMicros, failed);
        addBounded(outcomes, outcome);
        if (!failed && !longRunning) {
            addBounded(shortSuccesses, outcome);
        }
    }

    LoadReport report(EjectionSimulation.SimulatedTarget target, int longInFlight, long nowMicros) {
        removeExpired(outcomes, nowMicros);
        removeExpired(shortSuccesses, nowMicros);
        long failures = outcomes.stream().filter(Outcome::failed).count();
        long[] sorted =
                shortSuccesses.stream().mapToLong(Outcome::durationMicros).sorted().toArray();
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

    private static void addBounded(ArrayDeque<Outcome> window, Outcome outcome) {
        window.addLast(outcome);
        if (window.size() > WINDOW_SAMPLES) {
            window.removeFirst();
        }
    }

    private static void removeExpired(ArrayDeque<Outcome> window, long nowMicros) {
        Iterator<Outcome> oldest = window.iterator();
        while (oldest.hasNext() && nowMicros - oldest.next().endedAtMicros() > MAX_AGE_MICROS) {
            oldest.remove();
        }
    }
}
