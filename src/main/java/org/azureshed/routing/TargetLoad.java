package org.azureshed.routing;

import java.util.concurrent.TimeUnit;
import org.azureshed.admission.LoadReport;

/** Load of one target as estimated by an entry node. Not thread-safe. */
final class TargetLoad {
    /** Decay time of a reported load; queues build and drain within fractions of a second. */
    private static final double LOAD_DECAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * Decay time of a reported service time. A target with a gray failure stays slow for longer
     * than a queue lasts, but has to be tried again eventually.
     */
    private static final double SERVICE_DECAY_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * Time in which a new target reaches its full weight. A longer time leaves capacity unused: in
     * the benchmark scenario {@code well-records}, at a demand of 1.0 times the capacity, the
     * median response time is 571 ms with 10 s and 199 ms with 4 s.
     */
    private static final long SLOW_START_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Share of its full weight that a new target has at first. */
    private static final double SLOW_START_WEIGHT = 0.1;

    /** Load per slot if long requests hold all slots; far above that of a busy target. */
    private static final double LOAD_WITHOUT_SLOTS = 8;

    /** The service time and error share of a report with fewer samples are not used. */
    private static final int MIN_SAMPLES = 4;

    /** Number of average service times that a failed request counts as. */
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

    void requestSent() {
        outstanding++;
        sentSinceReport++;
    }

    void requestFinished() {
        outstanding--;
        sentSinceReport = Math.min(sentSinceReport, outstanding);
    }

    void reportReceived(LoadReport newReport, long nowNanos) {
        report = newReport;
        reportedAtNanos = nowNanos;
        sentSinceReport = 0;
    }

    /** Share of its full weight that a target gets during slow start, 0 to 1. */
    double slowStartWeight(long nowNanos) {
        if (!slowStart) {
            return 1;
        }
        double progress = (double) (nowNanos - readySinceNanos) / SLOW_START_NANOS;
        return Math.min(1, SLOW_START_WEIGHT + (1 - SLOW_START_WEIGHT) * Math.max(0, progress));
    }

    /** Estimated requests per usable slot; approaches the average as the report ages. */
    double loadPerSlot(int slots, double averageLoad, boolean longRunning, long nowNanos) {
        double weight = report == null ? 0 : decay(nowNanos, LOAD_DECAY_NANOS);
        double reported = weight == 0 ? 0 : longRunning ? reportedLongLoad() : reportedLoad();
        double estimate = weight * reported + (1 - weight) * averageLoad;
        return Math.max((double) outstanding / slots, estimate + (double) sentSinceReport / slots);
    }

    /** Reported load of the slots that long requests leave to short ones. */
    double reportedLoad() {
        int shortSlots = report.slots() - report.longInFlight();
        if (shortSlots <= 0) {
            return LOAD_WITHOUT_SLOTS + report.queued();
        }
        return (double) (report.inFlight() - report.longInFlight() + report.queued()) / shortSlots;
    }

    /**
     * Reported load as seen by a long request. Other long requests count twice, since it competes
     * with them for the long lane, and with all requests for free slots.
     */
    double reportedLongLoad() {
        return (double) (report.inFlight() + report.longInFlight() + report.queued())
                / Math.max(1, report.slots());
    }

    /**
     * Estimated time for one request; approaches the average as the report ages. A target that
     * fails fast looks idle and fast, so each error counts as several requests.
     */
    double serviceNanos(double averageNanos, long nowNanos) {
        if (report == null || report.samples() < MIN_SAMPLES) {
            return averageNanos;
        }
        double weight = decay(nowNanos, SERVICE_DECAY_NANOS);
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

    private double decay(long nowNanos, double scale) {
        return Math.exp(-Math.max(0, nowNanos - reportedAtNanos) / scale);
    }
}
