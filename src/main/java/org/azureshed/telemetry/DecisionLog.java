package org.azureshed.telemetry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one line of key=value pairs for each decision, on a thread of its own. Callers never
 * block: if the output is too slow or the rate limit is exceeded, lines are dropped and counted,
 * and the count is logged with the next batch.
 *
 * <pre>{@code
 * log.write("target_left", "target", id, "age_ms", age);
 * }</pre>
 */
public final class DecisionLog implements AutoCloseable {
    /** Capacity of the queue of lines. */
    private static final int CAPACITY = 2_048;

    /** Rate limit; more lines would cost more CPU time than the requests they describe. */
    private static final long MAX_LINES_PER_SECOND = 200;

    /** Minor lines are dropped once this many lines were submitted in the current second. */
    private static final long MAX_MINOR_LINES_PER_SECOND = MAX_LINES_PER_SECOND / 5;

    /** Lines are collected for this time and written together, to save thread wake-ups. */
    private static final long BATCH_MILLIS = 250;

    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final OutputStream out;
    private final String node;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writer;
    private long secondStartNanos = System.nanoTime();
    private long linesThisSecond;
    private volatile boolean closed;

    /**
     * Starts a log.
     *
     * @param out receives the lines; never closed by the log
     * @param node name of the node, written on each line
     */
    public DecisionLog(OutputStream out, String node) {
        this.out = out;
        this.node = node;
        this.writer = new Thread(this::writeLines, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Queues a line.
     *
     * @param event name of the event in lower case with underscores
     * @param pairs alternating keys and values
     */
    public synchronized void write(String event, Object... pairs) {
        long now = System.nanoTime();
        if (now - secondStartNanos > NANOS_PER_SECOND) {
            secondStartNanos = now;
            linesThisSecond = 0;
        }
        linesThisSecond++;
        if (linesThisSecond > MAX_LINES_PER_SECOND || !lines.offer(format(event, pairs))) {
            dropped.incrementAndGet();
        }
    }

    /**
     * Queues a line of low priority. Such lines are dropped first, so that many of them do not use
     * up the rate limit.
     *
     * @param event name of the event in lower case with underscores
     * @param pairs alternating keys and values
     */
    public synchronized void writeMinor(String event, Object... pairs) {
        if (linesThisSecond >= MAX_MINOR_LINES_PER_SECOND
                && System.nanoTime() - secondStartNanos <= NANOS_PER_SECOND) {
            dropped.incrementAndGet();
        } else {
            write(event, pairs);
        }
    }

    /**
     * Returns the number of lines dropped since the start.
     *
     * @return 0 if none was dropped
     */
    public long droppedLines() {
        return dropped.get();
    }

    private String format(String event, Object... pairs) {
        KeyValueLine line = new KeyValueLine(event).with("node", node);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.with(String.valueOf(pairs[i]), pairs[i + 1]);
        }
        return line.with("at_ms", System.currentTimeMillis()).toString();
    }

    private void writeLines() {
        long reported = 0;
        StringBuilder batch = new StringBuilder();
        try {
            while (!closed || !lines.isEmpty()) {
                String line = lines.poll(BATCH_MILLIS * 8, TimeUnit.MILLISECONDS);
                if (line == null) {
                    continue;
                }
                if (!closed) {
                    Thread.sleep(BATCH_MILLIS);
                }
                while (line != null) {
                    batch.append(line).append('\n');
                    line = lines.poll();
                }
                long droppedCount = dropped.get();
                if (droppedCount != reported) {
                    batch.append(format("lines_dropped", "count", droppedCount - reported))
                            .append('\n');
                    reported = droppedCount;
                }
                out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
                batch.setLength(0);
            }
        } catch (IOException e) {
            // The output is broken and the writer ends; the queue fills up and later lines are
            // counted.
            dropped.incrementAndGet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the queued lines and stops the writer; waits for it for at most half a second. */
    @Override
    public void close() {
        closed = true;
        try {
            writer.join(TimeUnit.MILLISECONDS.toMillis(500));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
