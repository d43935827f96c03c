package org.azureshed.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Requests that wait for a slot, ordered by deadline, then class priority, then organisation (the
 * one with the fewest requests in flight first), then arrival. The order depends on the requests in
 * flight, so it is not kept but evaluated at each use; the queue is short. Not thread-safe.
 */
final class WaitQueue {
    private final List<Waiter> waiters = new ArrayList<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private final Comparator<Waiter> order =
            Comparator.comparingLong(Waiter::deadlineBucket)
                    .thenComparingInt(waiter -> -waiter.request().requestClass().priority())
                    .thenComparingInt(waiter -> inFlightOf(waiter.request().organisation()))
                    .thenComparingLong(Waiter::sequence);

    int size() {
        return waiters.size();
    }

    void add(Waiter waiter) {
        waiters.add(waiter);
    }

    boolean remove(Waiter waiter) {
        return waiters.remove(waiter);
    }

    /** Removes and returns all waiters that match a condition. */
    List<Waiter> removeAll(Predicate<Waiter> condition) {
        List<Waiter> removed = waiters.stream().filter(condition).toList();
        if (!removed.isEmpty()) {
            waiters.removeIf(condition);
        }
        return removed;
    }

    /** Removes and returns the first waiter whose lane has a free slot. */
    Optional<Waiter> poll(Predicate<Lane> hasSlot) {
        Optional<Waiter> first =
                waiters.stream().filter(waiter -> hasSlot.test(waiter.lane())).min(order);
        first.ifPresent(waiters::remove);
        return first;
    }

    /** Counts the waiters of the same lane that are ordered before a waiter. */
    int countAhead(Waiter waiter) {
        int ahead = 0;
        for (Waiter other : waiters) {
            if (other.lane() == waiter.lane() && order.compare(other, waiter) < 0) {
                ahead++;
            }
        }
        return ahead;
    }

    /** Returns the last waiter of a lane in the queue's order. */
    Optional<Waiter> last(Lane lane) {
        return waiters.stream().filter(waiter -> waiter.lane() == lane).max(order);
    }

    /**
     * Makes room after a waiter was added: removes the last waiter in its lane among those of the
     * organisations that have the most waiters. This prevents one organisation from filling the
     * queue while others wait.
     *
     * @param added the waiter that was added
     * @param onlyAhead whether to remove only a waiter that is ordered before the added one,
     *     because the added one waits too long otherwise; if there is none, the added one is
     *     removed
     * @return the waiter that was removed, possibly the added one
     */
    Waiter removeToMakeRoom(Waiter added, boolean onlyAhead) {
        Map<String, Integer> counts = new HashMap<>();
        for (Waiter waiter : waiters) {
            if (waiter.lane() == added.lane()) {
                counts.merge(waiter.request().organisation(), 1, Integer::sum);
            }
        }
        Waiter removed =
                waiters.stream()
                        .filter(waiter -> waiter.lane() == added.lane())
                        .max(
                                Comparator.<Waiter>comparingInt(
                                                waiter ->
                                                        counts.get(waiter.request().organisation()))
                                        .thenComparing(order))
                        .filter(last -> !onlyAhead || order.compare(last, added) < 0)
                        .orElse(added);
        waiters.remove(removed);
        return removed;
    }

    void requestStarted(String organisation) {
        inFlight.merge(organisation, 1, Integer::sum);
    }

    void requestFinished(String organisation) {
        inFlight.computeIfPresent(organisation, (key, count) -> count > 1 ? count - 1 : null);
    }

    private int inFlightOf(String organisation) {
        return inFlight.getOrDefault(organisation, 0);
    }
}
