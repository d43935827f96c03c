package org.azureshed.host;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.azureshed.directory.Condition;
import org.azureshed.directory.TargetEntry;
import org.azureshed.dispatch.HostRefusal;
import org.azureshed.dispatch.OfferMode;
import org.azureshed.dispatch.RequestOrigin;
import org.azureshed.model.RefusalReason;

/**
 * Slots and queue of the target beside this node. All requests to the target pass through it, so it
 * knows the free slots without asking the target. Not thread-safe.
 *
 * <p>A request waits only if its answer is expected while it is still worth most; otherwise it is
 * refused at once. A longer queue would serve no more requests, and each of them late. Waiting
 * requests are served by priority, then by the time they have left; those that became late come
 * last. A later call of a run comes first: without it the run's earlier calls were in vain.
 */
public final class HostGate {
    /** Waiting requests per slot; a longer queue would only hold requests that time out. */
    private static final int MAX_QUEUE_PER_SLOT = 6;

    /**
     * Requests that a target runs at once until it has answered one. A target that resets
     * connections shows it only after some time, and each request under way is lost with it.
     */
    private static final int UNPROVEN_SLOTS = 2;

    /** Assumed run time before the first run. */
    private static final double DEFAULT_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final Comparator<Offered> URGENCY =
            Comparator.<Offered, Boolean>comparing(
                            offered -> offered.origin() != RequestOrigin.FOLLOW_UP)
                    .thenComparingInt(Offered::priority)
                    .thenComparingLong(Offered::usefulNanos)
                    .thenComparingLong(Offered::id);

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final TargetHealth health = new TargetHealth();
    private final Map<Long, Offered> running = new HashMap<>();
    private final List<Offered> queue = new ArrayList<>();
    private final RetryShare retries;
    private Optional<TargetEntry> target = Optional.empty();
    private boolean nodeStopping;

    /**
     * Creates a gate without a target.
     *
     * @param retries the target's share of its service's retry budget
     */
    public HostGate(RetryShare retries) {
        this.retries = retries;
    }

    /**
     * Applies a change of the number of targets that share the service's retry budget.
     *
     * @param targets their number
     */
    public void shareRetries(int targets) {
        retries.resize(targets);
    }

    /** A waiting request that got a slot, or was refused. */
    public record Settled(Offered offered, Admittance admittance) {}

    /**
     * Applies what the target said about itself.
     *
     * @param announced the target, or empty if there is none
     * @param nowNanos current time
     * @return waiting requests that are decided by it
     */
    public List<Settled> apply(Optional<TargetEntry> announced, long nowNanos) {
        boolean replaced = replaces(announced);
        target = announced;
        if (replaced || announced.isEmpty() || !announced.get().condition().usable()) {
            return refuseAll(RefusalReason.TARGET_DRAINING);
        }
        return fill(nowNanos);
    }

    /**
     * Whether a target is another one than the present, or another start of it.
     *
     * @param announced the target, or empty if there is none
     * @return true if the present target has ended
     */
    public boolean replaces(Optional<TargetEntry> announced) {
        return target.isPresent()
                && announced.isPresent()
                && !(target.get().id().equals(announced.get().id())
                        && target.get().bornMillis() == announced.get().bornMillis());
    }

    /**
     * Refuses all new requests from now on, because the node stops.
     *
     * @return waiting requests, which are refused
     */
    public List<Settled> stop() {
        nodeStopping = true;
        return refuseAll(RefusalReason.NODE_DRAINING);
    }

    /**
     * Decides about an offered request.
     *
     * @param offered the request
     * @param nowNanos current time
     * @return whether it is admitted, queued or refused
     */
    public Admittance offer(Offered offered, long nowNanos) {
        Optional<RefusalReason> closed = closedReason(offered);
        if (closed.isPresent()) {
            return refused(closed.get(), 0, false);
        }
        if (health.condition(nowNanos) == Condition.SUSPECT && offered.mode() != OfferMode.FORCE) {
            boolean trial =
                    offered.repeatable() && hasFreeSlot(nowNanos) && health.startTrial(nowNanos);
            if (!trial) {
                return refused(RefusalReason.TARGET_SUSPECT, 0, true);
            }
        }
        boolean free = hasFreeSlot(nowNanos) && queue.isEmpty();
        if (free && !countTowardsBudget(offered, nowNanos)) {
            return refused(RefusalReason.RETRY_BUDGET, 0, false);
        }
        if (free) {
            running.put(offered.id(), offered);
            return new Admittance.Admitted();
        }
        double waitNanos = expectedWaitNanos(offered);
        boolean fits = nowNanos + waitNanos + runNanos() <= patienceNanos(offered, nowNanos);
        boolean room = queue.size() < MAX_QUEUE_PER_SLOT * slots();
        if (offered.mode() == OfferMode.IMMEDIATE || !fits || !room) {
            return refused(RefusalReason.QUEUE_FULL, (long) (waitNanos / NANOS_PER_MILLI), false);
        }
        if (!countTowardsBudget(offered, nowNanos)) {
            return refused(RefusalReason.RETRY_BUDGET, 0, false);
        }
        queue.add(offered);
        return new Admittance.Queued();
    }

    /**
     * Ends a run or a reservation and fills the free slot.
     *
     * @param offered the request that was admitted
     * @param result how it ended
     * @param runNanos how long it ran
     * @param nowNanos current time
     * @return waiting requests that are decided by it
     */
    public List<Settled> release(Offered offered, RunResult result, long runNanos, long nowNanos) {
        if (running.remove(offered.id()) == null) {
            return List.of();
        }
        health.ended(result, runNanos, nowNanos);
        return fill(nowNanos);
    }

    /**
     * Removes a waiting request whose caller is gone.
     *
     * @param offered the request
     * @return true if it was waiting
     */
    public boolean withdraw(Offered offered) {
        return queue.remove(offered);
    }

    /**
     * Refuses waiting requests that can no longer finish in time.
     *
     * @param nowNanos current time
     * @return the refused requests
     */
    public List<Settled> expire(long nowNanos) {
        List<Settled> expired = new ArrayList<>();
        for (Offered offered : List.copyOf(queue)) {
            if (nowNanos + runNanos() / 2 > offered.limitNanos()) {
                queue.remove(offered);
                expired.add(new Settled(offered, refused(RefusalReason.QUEUE_TIMEOUT, 0, false)));
            }
        }
        return expired;
    }

    /**
     * The target as it was announced, for other nodes.
     *
     * @return the target, or empty if there is none
     */
    public Optional<TargetEntry> target() {
        return target;
    }

    /**
     * The target's condition, judged by the requests that it ran.
     *
     * @param nowNanos current time
     * @return serving, slow or suspect
     */
    public Condition condition(long nowNanos) {
        return health.condition(nowNanos);
    }

    /**
     * Whether the target runs a request that it, or another target, has received before.
     *
     * @return true if calls that the target makes now may come from a repeat
     */
    public boolean runsRepeat() {
        return running.values().stream().anyMatch(Offered::repeat);
    }

    /**
     * Requests that hold a slot.
     *
     * @return their number
     */
    public int runningCount() {
        return running.size();
    }

    /**
     * Requests that wait for a slot.
     *
     * @return their number
     */
    public int waitingCount() {
        return queue.size();
    }

    /** Counts a first attempt, or takes a token for a repeat; false if there is none. */
    private boolean countTowardsBudget(Offered offered, long nowNanos) {
        if (offered.repeat()) {
            return retries.tryRetry(nowNanos);
        }
        if (offered.derived()) {
            retries.derivedRequestStarted(nowNanos);
        } else {
            retries.requestStarted(nowNanos);
        }
        return true;
    }

    private Optional<RefusalReason> closedReason(Offered offered) {
        if (nodeStopping) {
            return Optional.of(RefusalReason.NODE_DRAINING);
        }
        if (target.isEmpty() || !target.get().id().equals(offered.targetId())) {
            return Optional.of(RefusalReason.TARGET_UNKNOWN);
        }
        return target.get().condition().usable()
                ? Optional.empty()
                : Optional.of(RefusalReason.TARGET_DRAINING);
    }

    private List<Settled> fill(long nowNanos) {
        List<Settled> admitted = new ArrayList<>();
        while (hasFreeSlot(nowNanos) && !queue.isEmpty()) {
            Offered next = mostUrgent(nowNanos);
            queue.remove(next);
            running.put(next.id(), next);
            admitted.add(new Settled(next, new Admittance.Admitted()));
        }
        return admitted;
    }

    private Offered mostUrgent(long nowNanos) {
        Comparator<Offered> lateLast =
                Comparator.comparing(offered -> nowNanos > offered.usefulNanos());
        return Collections.min(queue, lateLast.thenComparing(URGENCY));
    }

    private List<Settled> refuseAll(RefusalReason reason) {
        List<Settled> refused =
                queue.stream()
                        .map(offered -> new Settled(offered, refused(reason, 0, false)))
                        .toList();
        queue.clear();
        return refused;
    }

    private static Admittance refused(RefusalReason reason, long waitMillis, boolean suspect) {
        return new Admittance.Refused(new HostRefusal(reason, waitMillis, suspect));
    }

    private boolean hasFreeSlot(long nowNanos) {
        int usable = health.proven(nowNanos) ? slots() : Math.min(UNPROVEN_SLOTS, slots());
        return running.size() < usable;
    }

    private int slots() {
        return target.map(TargetEntry::slots).orElse(0);
    }

    /**
     * Mean time of recent runs.
     *
     * @return nanoseconds
     */
    public double runNanos() {
        return health.recentNanos(DEFAULT_RUN_NANOS);
    }

    private double expectedWaitNanos(Offered offered) {
        long ahead = queue.stream().filter(other -> URGENCY.compare(other, offered) < 0).count();
        return (ahead + 1) * runNanos() / Math.max(1, slots());
    }

    /** Until when a request may wait: one that is late already, until its limit. */
    private double patienceNanos(Offered offered, long nowNanos) {
        return nowNanos + runNanos() > offered.usefulNanos()
                ? offered.limitNanos()
                : Math.min(offered.usefulNanos(), offered.limitNanos());
    }
}
