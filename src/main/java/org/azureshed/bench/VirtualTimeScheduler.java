package org.azureshed.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions in the order of their virtual time. Actions of the same time run in the order in
 * which they were scheduled.
 */
final class VirtualTimeScheduler {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long sequence;

    long nowNanos() {
        return nowNanos;
    }

    /** Schedules an action; a time in the past counts as the current time. */
    void scheduleAt(long atNanos, Runnable action) {
        events.add(new Event(Math.max(nowNanos, atNanos), sequence++, action));
    }

    void scheduleAfter(long delayNanos, Runnable action) {
        scheduleAt(nowNanos + delayNanos, action);
    }

    /** Runs actions until none is left. */
    void run() {
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
    }

    private record Event(long atNanos, long sequence, Runnable action) {}
}
