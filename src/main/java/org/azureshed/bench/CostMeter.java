package org.azureshed.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Measures the processor time of the calling thread and the used heap. */
final class CostMeter {
    private static final ThreadMXBean THREAD_MX_BEAN = ManagementFactory.getThreadMXBean();
    private static final int GC_RUNS = 4;
    private static final long GC_PAUSE_MILLIS = 50;

    private CostMeter() {}

    /** The operation that is measured. */
    @FunctionalInterface
    interface Operation {
        void run(int iteration);
    }

    /**
     * Measures the mean processor time of one iteration.
     *
     * @param warmUpIterations iterations before the measurement
     * @param measuredIterations iterations over which the mean is taken
     * @param operation receives the number of the iteration; numbers start at 0 in the warm-up and
     *     continue in the measurement
     * @return microseconds per iteration
     */
    static double measureMicros(int warmUpIterations, int measuredIterations, Operation operation) {
        for (int i = 0; i < warmUpIterations; i++) {
            operation.run(i);
        }
        long start = threadCpuNanos();
        for (int i = 0; i < measuredIterations; i++) {
            operation.run(warmUpIterations + i);
        }
        return (threadCpuNanos() - start) / 1e3 / measuredIterations;
    }

    /** Processor time of the calling thread so far, in nanoseconds. */
    static long threadCpuNanos() {
        return THREAD_MX_BEAN.getCurrentThreadCpuTime();
    }

    /** Used heap after explicit garbage collections, in bytes. */
    static long usedHeapBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
            try {
                Thread.sleep(GC_PAUSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
