package org.azureshed.standin;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Faults that the platform stand-in currently injects. */
final class StandInFaults {
    private final RateWindow writes = new RateWindow();
    private final RateWindow reads = new RateWindow();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private volatile Outage outage = Outage.NONE;
    private volatile long slowMillis;
    private volatile boolean dropWatches;
    private volatile boolean staleWatches;

    /** How the platform fails during an outage. */
    enum Outage {
        /** No outage. */
        @JsonProperty("none")
        NONE,
        /** The platform closes connections without a response. */
        @JsonProperty("close")
        CLOSE,
        /** The platform responds with status 503. */
        @JsonProperty("unavailable")
        UNAVAILABLE
    }

    /**
     * Changes of the faults, bound from JSON. A fault whose component is null stays as it is.
     *
     * @param outage how the platform fails from now on
     * @param slowMillis delay of every call on objects and watches, in milliseconds
     * @param loseAnswers number of successful writes that get no response
     * @param dropWatches whether the connections of watches are closed without a response
     * @param staleWatches whether watches report no changes
     * @param writesPerSecond rate limit of writes; 0 for no limit, negative to refuse all
     * @param readsPerSecond rate limit of reads and watches; 0 for no limit, negative to refuse all
     * @param snapshot true to copy all objects for a later {@code restore}
     * @param restore true to return to the objects of the last snapshot
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
        return (write ? writes : reads).tryAcquire();
    }

    /**
     * Whether the response of the current write has to be lost. Each call uses up one of the
     * responses to lose.
     */
    boolean tryLoseAnswer() {
        return answersToLose.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
    }

    /** Limits the rate of calls in fixed windows of one second. */
    private static final class RateWindow {
        private int limit;
        private int callCount;
        private long windowSecond;

        synchronized void setLimit(int callsPerSecond) {
            limit = callsPerSecond;
        }

        synchronized boolean tryAcquire() {
            long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
            if (now != windowSecond) {
                windowSecond = now;
                callCount = 0;
            }
            return limit == 0 || callCount++ < limit;
        }
    }
}
