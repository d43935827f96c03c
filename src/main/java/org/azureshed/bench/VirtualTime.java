package org.azureshed.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their virtual time, and of scheduling among equal times. */
final class VirtualTime {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long sequence;

    long now() {
        return nowNanos;
    }

    void at(long atNanos, Runnable action) {
        events.add(new Event(Math.max(nowNanos, atNanos), sequence++, action));
    }

    void after(long nanos, Runnable action) {
        at(nowNanos + nanos, action);
    }

    void run() {
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
    }

    private record Event(long atNanos, long sequence, Runnable action) {}
}
