package org.azureshed.standin;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The faults that the platform stand-in produces at the moment. */
final class StandInFaults {
    private final RateWindow writes = new RateWindow();
    private final RateWindow reads = new RateWindow();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private volatile Outage outage = Outage.NONE;
    private volatile long slowMillis;
    private volatile boolean dropWatches;
    private volatile boolean staleWatches;

    /** How the platform fails while it is down. */
    enum Outage {
        /** It is up. */
        @JsonProperty("none")
        NONE,
        /** It closes connections without an answer. */
        @JsonProperty("close")
        CLOSE,
        /** It answers 503. */
        @JsonProperty("unavailable")
        UNAVAILABLE
    }

    /**
     * Changes of the faults; parts that are null stay as they are. A rate of 0 is no limit, a
     * negative one refuses all calls.
     */
    record Change(
            Outage outage,
            Long slowMillis,
            Integer loseAnswers,
            Boolean dropWatches,
            Boolean staleWatches,
            Integer writesPerSecond,
            Integer readsPerSecond,
            Boolean snapshot,
            Boolean restore) {}

    void apply(Change change) {
        if (change.outage() != null) {
            outage = change.outage();
        }
        if (change.slowMillis() != null) {
            slowMillis = change.slowMillis();
        }
        if (change.loseAnswers() != null) {
            answersToLose.set(change.loseAnswers());
        }
        if (change.dropWatches() != null) {
            dropWatches = change.dropWatches();
        }
        if (change.staleWatches() != null) {
            staleWatches = change.staleWatches();
        }
        if (change.writesPerSecond() != null) {
            writes.setLimit(change.writesPerSecond());
        }
        if (change.readsPerSecond() != null) {
            reads.setLimit(change.readsPerSecond());
        }
    }

    Outage outage() {
        return outage;
    }

    boolean dropWatches() {
        return dropWatches;
    }

    boolean staleWatches() {
        return staleWatches;
    }

    void delay() throws InterruptedException {
        Thread.sleep(slowMillis);
    }

    boolean allows(boolean write) {
        return (write ? writes : reads).tryTake();
    }

    boolean losesNextAnswer() {
        return answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }

    /** Counts calls in windows of one second. */
    private static final class RateWindow {
        private int limit;
        private int taken;
        private long second;

        synchronized void setLimit(int callsPerSecond) {
            limit = callsPerSecond;
        }

        synchronized boolean tryTake() {
            long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
            if (now != second) {
                second = now;
                taken = 0;
            }
            return limit == 0 || taken++ < limit;
        }
    }
}
