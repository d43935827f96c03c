package org.azureshed.ejection;

import java.util.Arrays;

/** Ring buffer of the newest samples of one target and class. Not thread-safe. */
final class SampleRing {
    /** Bounds the memory of a target and class to about 9 KB. */
    private static final int CAPACITY = 512;

    private static final int MIN_SAMPLES = OutlierDetector.MIN_SAMPLES;

    /** Shortest window; a busy target is evaluated once in this time. */
    private static final long WINDOW_MICROS = 1_000_000;

    /** Longest window; older samples are ignored as out of date. */
    private static final long MAX_WINDOW_MICROS = 30_000_000;

    private final long[] endMicros = new long[CAPACITY];
    private final long[] serviceMicros = new long[CAPACITY];
    private final boolean[] failed = new boolean[CAPACITY];
    private long count;
    private long totalErrors;

    void add(long nowMicros, long micros, boolean error) {
        int slot = (int) (count % CAPACITY);
        endMicros[slot] = nowMicros;
        serviceMicros[slot] = micros;
        failed[slot] = error;
        count++;
        totalErrors += error ? 1 : 0;
    }

    /** Median service time of the stored requests that did not fail; 0 if there are none. */
    long medianMicros() {
        int size = (int) Math.min(count, CAPACITY);
        long[] times = new long[size];
        int succeeded = 0;
        for (int slot = 0; slot < size; slot++) {
            if (!failed[slot]) {
                times[succeeded++] = serviceMicros[slot];
            }
        }
        Arrays.sort(times, 0, succeeded);
        return quantile(times, succeeded, 50);
    }

    /**
     * Summarises the samples of the latest window. The window is extended into the past until it
     * has enough samples, so that a slow target, which completes few requests, can be evaluated
     * too.
     *
     * @param stuckMicros elapsed times of requests that are running unusually long
     */
    ClassDigest digest(String requestClass, long nowMicros, long[] stuckMicros) {
        long median = medianMicros();
        long[] times = Arrays.copyOf(stuckMicros, CAPACITY + stuckMicros.length);
        int timed = stuckMicros.length;
        int samples = stuckMicros.length;
        int errors = 0;
        long oldest = nowMicros;
        long available = Math.min(count, CAPACITY);
        for (long offset = 1; offset <= available; offset++) {
            int slot = (int) ((count - offset) % CAPACITY);
            long age = nowMicros - endMicros[slot];
            boolean enough = timed >= MIN_SAMPLES && age > WINDOW_MICROS;
            if (enough || age > MAX_WINDOW_MICROS) {
                break;
            }
            oldest = endMicros[slot];
            samples++;
            errors += failed[slot] ? 1 : 0;
            // A fast failure does not show the service time, but a time-out is a lower bound of it.
            if (!failed[slot] || serviceMicros[slot] > median) {
                times[timed++] = serviceMicros[slot];
            }
        }
        Arrays.sort(times, 0, timed);
        long span = Math.max(WINDOW_MICROS, nowMicros - oldest) / 1_000;
        return new ClassDigest(
                requestClass,
                samples,
                errors,
                timed,
                quantile(times, timed, 50),
                quantile(times, timed, 75),
                quantile(times, timed, 90),
                span,
                count,
                totalErrors);
    }

    private static long quantile(long[] sorted, int size, int percent) {
        return size == 0 ? 0 : sorted[size * percent / 100];
    }
}
