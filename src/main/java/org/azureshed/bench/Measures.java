package org.azureshed.bench;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** What became of the requests of one class in the measured window. */
final class Measures {
    private static final long HIGHEST_MICROS = TimeUnit.MINUTES.toMicros(10);
    private static final int DIGITS = 3;

    private final Histogram micros = new Histogram(HIGHEST_MICROS, DIGITS);
    private int offered;
    private int inTime;
    private int late;
    private int refused;
    private int retries;

    void offered() {
        offered++;
    }

    void retried() {
        retries++;
    }

    void refused() {
        refused++;
    }

    void answered(long nanos, long deadlineNanos) {
        micros.recordValue(Math.min(HIGHEST_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
        if (nanos <= deadlineNanos) {
            inTime++;
        } else {
            late++;
        }
    }

    int offeredCount() {
        return offered;
    }

    int inTimeCount() {
        return inTime;
    }

    int lateCount() {
        return late;
    }

    int refusedCount() {
        return refused;
    }

    int retryCount() {
        return retries;
    }

    /** Latency of answered requests, late ones included. */
    double millisAt(double percentile) {
        return micros.getValueAtPercentile(percentile) / 1000.0;
    }
}
