package org.azureshed.simulation;

import java.util.concurrent.TimeUnit;

/**
 * Stands in for {@link System} in the classes of a node: its clocks are those of the simulated
 * process that runs.
 */
public final class SimulatedSystem {
    /** Unix time in milliseconds at which a simulation starts. */
    static final long START_MILLIS = 1_700_000_000_000L;

    /** Keeps monotonic times away from zero, which some code may take for unset. */
    private static final long START_NANOS = TimeUnit.DAYS.toNanos(1);

    private SimulatedSystem() {}

    /** Monotonic time in nanoseconds. */
    public static long nanoTime() {
        SimulatedProcess process = SimulatedProcess.current();
        return process == null ? System.nanoTime() : START_NANOS + process.time().nanos();
    }

    /** Unix time in milliseconds, by the clock of the process that runs. */
    public static long currentTimeMillis() {
        SimulatedProcess process = SimulatedProcess.current();
        return process == null ? System.currentTimeMillis() : process.unixMillis();
    }

    /** Same as {@link System#arraycopy}. */
    public static void arraycopy(Object from, int fromIndex, Object to, int toIndex, int length) {
        System.arraycopy(from, fromIndex, to, toIndex, length);
    }

    /** Same as {@link System#getProperty(String)}. */
    public static String getProperty(String name) {
        return System.getProperty(name);
    }
}
