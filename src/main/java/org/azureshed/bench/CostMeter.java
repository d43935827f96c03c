package org.azureshed.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Measures processor time of the calling thread and used heap. */
final class CostMeter {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int COLLECTIONS = 4;
    private static final long COLLECTION_PAUSE_MILLIS = 50;

    private CostMeter() {}

    /** Something that is repeated. */
    @FunctionalInterface
    interface Step {
        void run(int iteration);
    }

    /**
     * Processor time of one iteration.
     *
     * @param warm iterations that are not measured
     * @param measured iterations that are measured
     * @param step gets the number of the iteration, from 0
     * @return microseconds
     */
    static double micros(int warm, int measured, Step step) {
        for (int i = 0; i < warm; i++) {
            step.run(i);
        }
        long start = cpuNanos();
        for (int i = 0; i < measured; i++) {
            step.run(warm + i);
        }
        return (cpuNanos() - start) / 1e3 / measured;
    }

    static long cpuNanos() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /** Used heap after explicit collections, in bytes. */
    static long heapBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
            try {
                Thread.sleep(COLLECTION_PAUSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
