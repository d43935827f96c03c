package org.azureshed.routing;

import java.util.concurrent.TimeUnit;
import org.azureshed.admission.LoadReport;

/** What an entry node knows of the load of one target. Not thread-safe. */
final class TargetLoad {
    /** Queues build and drain within fractions of a second, so load ages fast. */
    private static final double LOAD_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** A gray target stays slow for longer, but must be tried again at some time. */
    private static final double SERVICE_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * With 10 s the crest bench left capacity unused (well records at 1.0: p50 571 ms, 4 s: 199).
     */
    private static final long SLOW_START_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final double SLOW_START_WEIGHT = 0.1;

    /** Load of a target whose slots are all held by long work; far above that of a busy one. */
    private static final double LOAD_WITHOUT_SLOTS = 8;

    private static final int MIN_SAMPLES = 4;
    private static final double ERROR_COST = 10;

    private final boolean slowStart;
    private final long readySinceNanos;
    private LoadReport report;
    private long reportedAtNanos;
    private int outstanding;
    private int sentSinceReport;

    TargetLoad(boolean slowStart, long nowNanos) {
        this.slowStart = slowStart;
        readySinceNanos = nowNanos;
    }

    void sent() {
        outstanding++;
        sentSinceReport++;
    }

    void finished() {
        outstanding--;
        sentSinceReport = Math.min(sentSinceReport, outstanding);
    }

    void reported(LoadReport newReport, long nowNanos) {
        report = newReport;
        reportedAtNanos = nowNanos;
        sentSinceReport = 0;
    }

    /** Share of its full weight that a target gets after it became ready. */
    double slowStartWeight(long nowNanos) {
        if (!slowStart) {
            return 1;
        }
        double progress = (double) (nowNanos - readySinceNanos) / SLOW_START_NANOS;
        return Math.min(1, SLOW_START_WEIGHT + (1 - SLOW_START_WEIGHT) * Math.max(0, progress));
    }

    /** Requests per usable slot, tending to the average as the report ages. */
    double loadPerSlot(int slots, double averageLoad, boolean longRunning, long nowNanos) {
        double weight = report == null ? 0 : age(nowNanos, LOAD_AGE_NANOS);
        double reported = weight == 0 ? 0 : longRunning ? reportedLongLoad() : reportedLoad();
        double estimate = weight * reported + (1 - weight) * averageLoad;
        return Math.max((double) outstanding / slots, estimate + (double) sentSinceReport / slots);
    }

    /** Load of the slots that long work leaves to short work. */
    double reportedLoad() {
        int shortSlots = report.slots() - report.longInFlight();
        if (shortSlots <= 0) {
            return LOAD_WITHOUT_SLOTS + report.queued();
        }
        return (double) (report.inFlight() - report.longInFlight() + report.queued()) / shortSlots;
    }

    /** Long work competes with long work first, and with short work for free slots. */
    double reportedLongLoad() {
        return (double) (report.inFlight() + report.longInFlight() + report.queued())
                / Math.max(1, report.slots());
    }

    /**
     * Time for one request, tending to the average as the report ages. A target that fails fast
     * looks idle and quick, so each error counts as several requests.
     */
    double serviceNanos(double averageNanos, long nowNanos) {
        if (report == null || report.samples() < MIN_SAMPLES) {
            return averageNanos;
        }
        double weight = age(nowNanos, SERVICE_AGE_NANOS);
        // A target that fails every request reports no service time.
        double median = hasServiceTime() ? medianNanos() : averageNanos;
        double reported = median + report.errorShare() * ERROR_COST * averageNanos;
        return weight * reported + (1 - weight) * averageNanos;
    }

    boolean hasServiceTime() {
        return report != null
                && report.samples() >= MIN_SAMPLES
                && report.medianServiceMicros() > 0;
    }

    double medianNanos() {
        return TimeUnit.MICROSECONDS.toNanos(report.medianServiceMicros());
    }

    private double age(long nowNanos, double scale) {
        return Math.exp(-Math.max(0, nowNanos - reportedAtNanos) / scale);
    }
}
