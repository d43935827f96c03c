package org.azureshed.host;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.azureshed.dispatch.RequestOrigin;

/**
 * The requests that wait for a slot of the target, the order in which they get one, and the choice
 * of the one that gives way to a better newcomer. Not thread-safe.
 *
 * <p>Waiting requests that have missed their soft deadline are served last. Apart from that,
 * follow-up calls come before first calls: if one is refused, the work of the calls before it is
 * wasted. Among equal ones the order is by priority, then by the fair share of the organisation,
 * then by soft deadline, then by id. While one organisation waits alone, or where there are none,
 * shares have no effect.
 */
final class WaitingQueue {
    /**
     * Expected work of a waiting request, relative to that of a newcomer, above which it gives way
     * to a newcomer that is otherwise equal: two such newcomers run in its place. Without the
     * margin, variations of the estimate would decide.
     */
    private static final double WORK_MARGIN = 2;

    /** Order by deadline, apart from requests that have missed their soft deadline. */
    private static final Comparator<OfferedRequest> DEADLINE_ORDER =
            Comparator.<OfferedRequest, Boolean>comparing(
                            offered -> offered.origin() != RequestOrigin.FOLLOW_UP)
                    .thenComparingInt(OfferedRequest::priority)
                    .thenComparingLong(OfferedRequest::softDeadlineNanos)
                    .thenComparingLong(OfferedRequest::id);

    private final QueuePolicy policy;
    private final ToDoubleFunction<OfferedRequest> workNanos;
    private final List<OfferedRequest> waiting = new ArrayList<>();

    /** Fair shares by priority; kept only while requests wait. */
    private final Map<Integer, FairClock> clocks = new HashMap<>();

    /**
     * Creates an empty queue.
     *
     * @param policy whether organisations have fair shares
     * @param workNanos expected run time of a request in nanoseconds
     */
    WaitingQueue(QueuePolicy policy, ToDoubleFunction<OfferedRequest> workNanos) {
        this.policy = policy;
        this.workNanos = workNanos;
    }

    /** A request with the time it must wait for a slot, as expected from those ahead of it. */
    private record Place(OfferedRequest offered, double aheadNanos) {}

    void add(OfferedRequest offered) {
        waiting.add(offered);
    }

    boolean remove(OfferedRequest offered) {
        boolean removed = waiting.remove(offered);
        forgetSharesIfEmpty();
        return removed;
    }

    private void forgetSharesIfEmpty() {
        if (waiting.isEmpty()) {
            clocks.clear();
        }
    }

    List<OfferedRequest> removeAll() {
        List<OfferedRequest> removed = List.copyOf(waiting);
        waiting.clear();
        forgetSharesIfEmpty();
        return removed;
    }

    int size() {
        return waiting.size();
    }

    /** Removes and returns the request that gets the next slot. */
    OfferedRequest take(long nowNanos) {
        OfferedRequest next = sorted(waiting, nowNanos).getFirst();
        waiting.remove(next);
        if (waiting.isEmpty()) {
            clocks.clear();
        } else if (next.origin() != RequestOrigin.FOLLOW_UP) {
            clocks.computeIfAbsent(next.priority(), priority -> new FairClock())
                    .served(next.organisation(), work(next));
        }
        return next;
    }

    /** Work of all waiting requests, in nanoseconds on one slot. */
    double totalWorkNanos() {
        return waiting.stream().mapToDouble(this::work).sum();
    }

    /**
     * Removes the requests that would not end by their deadline even if they needed only half of
     * their expected work. The margin covers variations of the work. A request that is removed
     * delays none of those behind it.
     *
     * @param slots slots of the target, at least 1
     * @param nowNanos current time
     * @return the removed requests
     */
    List<OfferedRequest> removeHopeless(int slots, long nowNanos) {
        List<OfferedRequest> hopeless = new ArrayList<>();
        double aheadNanos = 0;
        for (OfferedRequest offered : sorted(waiting, nowNanos)) {
            double work = work(offered);
            if (nowNanos + aheadNanos / slots + work / 2 > offered.deadlineNanos()) {
                hopeless.add(offered);
            } else {
                aheadNanos += work;
            }
        }
        waiting.removeAll(hopeless);
        forgetSharesIfEmpty();
        return hopeless;
    }

    /**
     * Removes the requests whose deadline is less than half a run away. Even if one got a slot now,
     * it would have to run in less than half the mean time.
     *
     * @param runNanos mean run time in nanoseconds
     * @param nowNanos current time
     * @return the removed requests
     */
    List<OfferedRequest> removeLate(double runNanos, long nowNanos) {
        List<OfferedRequest> late =
                waiting.stream()
                        .filter(offered -> nowNanos + runNanos / 2 > offered.deadlineNanos())
                        .toList();
        waiting.removeAll(late);
        return late;
    }

    /** Work of the requests that are served before a newcomer, in nanoseconds on one slot. */
    double workAheadNanos(OfferedRequest newcomer, long nowNanos) {
        if (policy == QueuePolicy.BY_DEADLINE) {
            return waiting.stream()
                    .filter(offered -> DEADLINE_ORDER.compare(offered, newcomer) < 0)
                    .mapToDouble(this::work)
                    .sum();
        }
        return workAheadNanos(waiting, newcomer, nowNanos);
    }

    /**
     * The waiting request that gives way to a newcomer: the one of the lowest worth, if the
     * newcomer is worth more. The worth is by priority, then by whether the soft deadline can still
     * be met, then by expected work. A follow-up call never gives way, and a retry displaces no
     * first attempt of its priority.
     *
     * @param newcomer a request that cannot be queued otherwise
     * @param onlyAhead whether only a request that is served before the newcomer is of use
     * @param slots slots of the target, at least 1
     * @param nowNanos current time
     * @return the request to displace, or empty if none is worth less
     */
    Optional<OfferedRequest> worseThan(
            OfferedRequest newcomer, boolean onlyAhead, int slots, long nowNanos) {
        List<OfferedRequest> all = new ArrayList<>(waiting);
        all.add(newcomer);
        List<Place> places = places(all, nowNanos);
        int newcomerIndex = 0;
        while (places.get(newcomerIndex).offered() != newcomer) {
            newcomerIndex++;
        }
        Comparator<Place> worth = worth(slots, nowNanos);
        Optional<Place> worst =
                places.subList(0, onlyAhead ? newcomerIndex : places.size()).stream()
                        .filter(place -> place.offered() != newcomer)
                        .filter(place -> place.offered().origin() != RequestOrigin.FOLLOW_UP)
                        .max(worth.thenComparing(place -> place.offered().id()));
        return worst.map(Place::offered)
                .filter(other -> isBetter(newcomer, worst.get(), slots, nowNanos));
    }

    /** Whether a newcomer that takes the place of a waiting request is worth more than it. */
    private boolean isBetter(OfferedRequest newcomer, Place other, int slots, long nowNanos) {
        OfferedRequest waits = other.offered();
        if (newcomer.origin() == RequestOrigin.FOLLOW_UP) {
            return true;
        }
        if (newcomer.priority() != waits.priority()) {
            return newcomer.priority() < waits.priority();
        }
        Map<String, Integer> held = heldByOrganisation();
        int newcomerHolds = held.getOrDefault(newcomer.organisation(), 0) + 1;
        int otherHolds = held.get(waits.organisation());
        if (!newcomer.organisation().equals(waits.organisation()) && newcomerHolds != otherHolds) {
            return newcomerHolds < otherHolds;
        }
        if (newcomer.retry() != waits.retry()) {
            return waits.retry();
        }
        List<OfferedRequest> rest = new ArrayList<>(waiting);
        rest.remove(waits);
        Place place = new Place(newcomer, workAheadNanos(rest, newcomer, nowNanos));
        boolean meets = meetsSoftDeadline(place, slots, nowNanos);
        if (meets != meetsSoftDeadline(other, slots, nowNanos)) {
            return meets;
        }
        return work(waits) > WORK_MARGIN * work(newcomer);
    }

    /** Orders requests by worth; the greatest is to be displaced first. */
    private Comparator<Place> worth(int slots, long nowNanos) {
        Map<String, Integer> held = heldByOrganisation();
        return Comparator.<Place>comparingInt(place -> place.offered().priority())
                .thenComparingInt(place -> held.getOrDefault(place.offered().organisation(), 0))
                .thenComparing(place -> place.offered().retry())
                .thenComparing(place -> !meetsSoftDeadline(place, slots, nowNanos))
                .thenComparingDouble(place -> work(place.offered()))
                .thenComparingLong(place -> place.offered().softDeadlineNanos());
    }

    private boolean meetsSoftDeadline(Place place, int slots, long nowNanos) {
        double endNanos = nowNanos + place.aheadNanos() / slots + work(place.offered());
        return endNanos <= place.offered().softDeadlineNanos();
    }

    private List<Place> places(List<OfferedRequest> requests, long nowNanos) {
        List<Place> places = new ArrayList<>();
        double aheadNanos = 0;
        for (OfferedRequest offered : sorted(requests, nowNanos)) {
            places.add(new Place(offered, aheadNanos));
            aheadNanos += work(offered);
        }
        return places;
    }

    private double workAheadNanos(
            List<OfferedRequest> requests, OfferedRequest newcomer, long nowNanos) {
        List<OfferedRequest> all = new ArrayList<>(requests);
        all.add(newcomer);
        for (Place place : places(all, nowNanos)) {
            if (place.offered() == newcomer) {
                return place.aheadNanos();
            }
        }
        throw new IllegalStateException("the newcomer has no place");
    }

    private List<OfferedRequest> sorted(List<OfferedRequest> requests, long nowNanos) {
        List<OfferedRequest> byDeadline =
                requests.stream()
                        .sorted(
                                classOrder(nowNanos)
                                        .thenComparingLong(OfferedRequest::softDeadlineNanos)
                                        .thenComparingLong(OfferedRequest::id))
                        .toList();
        if (policy == QueuePolicy.BY_DEADLINE
                || requests.stream().map(OfferedRequest::organisation).distinct().count() <= 1) {
            return byDeadline;
        }
        Map<OfferedRequest, Double> starts = new HashMap<>();
        Map<Share, Double> nextStarts = new HashMap<>();
        for (OfferedRequest offered : byDeadline) {
            if (offered.origin() == RequestOrigin.FOLLOW_UP) {
                starts.put(offered, 0.0);
                continue;
            }
            Share share = new Share(offered.priority(), offered.organisation());
            double start = nextStarts.computeIfAbsent(share, this::startNanos);
            starts.put(offered, start);
            nextStarts.put(share, start + work(offered));
        }
        return byDeadline.stream()
                .sorted(classOrder(nowNanos).thenComparingDouble(starts::get))
                .toList();
    }

    private record Share(int priority, String organisation) {}

    private double startNanos(Share share) {
        FairClock clock = clocks.get(share.priority());
        return clock == null ? 0 : clock.startNanos(share.organisation());
    }

    /** Number of waiting first requests of each organisation. */
    private Map<String, Integer> heldByOrganisation() {
        Map<String, Integer> held = new HashMap<>();
        for (OfferedRequest offered : waiting) {
            if (offered.origin() != RequestOrigin.FOLLOW_UP) {
                held.merge(offered.organisation(), 1, Integer::sum);
            }
        }
        return held;
    }

    /** Order by what precedes the deadline; requests that are equal in it share the slots. */
    private static Comparator<OfferedRequest> classOrder(long nowNanos) {
        return Comparator.<OfferedRequest, Boolean>comparing(
                        offered -> nowNanos > offered.softDeadlineNanos())
                .thenComparing(offered -> offered.origin() != RequestOrigin.FOLLOW_UP)
                .thenComparingInt(OfferedRequest::priority);
    }

    private double work(OfferedRequest offered) {
        return workNanos.applyAsDouble(offered);
    }
}
