package org.azureshed.bench;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Results of the requests of one class that arrived in the measured time. */
final class ClassStatistics {
    /** Longer latencies are recorded as this one. */
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(10);

    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private int offeredCount;
    private int inTimeCount;
    private int lateCount;
    private int refusedCount;
    private int retryCount;

    void recordOffered() {
        offeredCount++;
    }

    void recordRetry() {
        retryCount++;
    }

    void recordRefusal() {
        refusedCount++;
    }

    void recordAnswer(long latencyNanos, long deadlineNanos) {
        latencyMicros.recordValue(
                Math.min(MAX_LATENCY_MICROS, TimeUnit.NANOSECONDS.toMicros(latencyNanos)));
        if (latencyNanos <= deadlineNanos) {
            inTimeCount++;
        } else {
            lateCount++;
        }
    }

    /** Number of requests that arrived, each counted once. */
    int offeredCount() {
        return offeredCount;
    }

    /** Number of requests answered by their deadline. */
    int inTimeCount() {
        return inTimeCount;
    }

    /** Number of requests answered or given up after their deadline. */
    int lateCount() {
        return lateCount;
    }

    /** Number of requests whose last attempt was refused or that found no target. */
    int refusedCount() {
        return refusedCount;
    }

    /** Number of attempts after the first ones. */
    int retryCount() {
        return retryCount;
    }

    /**
     * Latency of the requests that were not refused, late ones included.
     *
     * @param percentile 0 to 100
     */
    double latencyMillisAt(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / 1000.0;
    }
}
