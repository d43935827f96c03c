package org.azureshed.simulation;

import java.io.OutputStream;

/** Stands in for the decision log of a node; keeps the lines in memory, without a thread. */
public final class SimulatedLog implements AutoCloseable {
    private final SimulatedProcess process = SimulatedProcess.current();
    private final String node;

    /** Creates the log of the current process; the output is not used. */
    public SimulatedLog(OutputStream out, String node) {
        this.node = node;
    }

    /** Adds a line. */
    public void write(String event, Object... pairs) {
        StringBuilder line = new StringBuilder();
        line.append(process.time().millis()).append(' ').append(node).append(' ').append(event);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
        }
        process.log().add(line.toString());
    }

    /** Adds a line; no line is dropped here. */
    public void writeMinor(String event, Object... pairs) {
        write(event, pairs);
    }

    /** Number of lines dropped. */
    public long droppedLines() {
        return 0;
    }

    @Override
    public void close() {}
}
