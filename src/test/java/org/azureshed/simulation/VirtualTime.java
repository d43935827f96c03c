package org.azureshed.simulation;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** Virtual clock that runs events in the order of their times; those of one time as they came. */
final class VirtualTime {
    private record Event(long atNanos, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atNanos != other.atNanos
                    ? Long.compare(atNanos, other.atNanos)
                    : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowNanos;
    private long order;

    /** Time since the start of the simulation in nanoseconds. */
    long nanos() {
        return nowNanos;
    }

    /** Time since the start of the simulation in milliseconds. */
    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }

    /** Runs a task at a time, or at the current one if that has passed. */
    void at(long atNanos, Runnable task) {
        events.add(new Event(Math.max(atNanos, nowNanos), order++, task));
    }

    void afterMillis(long delayMillis, Runnable task) {
        at(nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis), task);
    }

    /** Runs all events up to a time and sets the clock to it. */
    void runUntilMillis(long endMillis) {
        long endNanos = TimeUnit.MILLISECONDS.toNanos(endMillis);
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.task().run();
        }
        nowNanos = endNanos;
    }
}
