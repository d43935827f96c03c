package org.azureshed.admission;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;

/**
 * Slots and queue of one hosted target. Thread-safe; futures complete outside the lock.
 *
 * <p>Long requests are admitted up to the slots of their lane. Short requests may use every slot
 * that long ones do not hold. A request of a short class that holds its slot for too long counts
 * against the long lane from then on, which may put the lane above its limit until requests end.
 */
final class TargetGate {
    /** Bounds memory when very short service times would allow a long queue. */
    private static final int MAX_WAITERS = 1024;

    private static final int PERCENT = 100;

    private final ReentrantLock lock = new ReentrantLock();
    private final WaitQueue queue = new WaitQueue();
    private final ServiceTimes times = new ServiceTimes();
    private final Set<Ticket> shortTickets = new LinkedHashSet<>();
    private TargetInfo info;
    private int longLanePercent;
    private Optional<RefusalReason> closedReason = Optional.empty();
    private int longInFlight;
    private long nextSequence;
    private CompletableFuture<Void> drained = new CompletableFuture<>();

    TargetGate(TargetInfo info, int longLanePercent) {
        this.info = info;
        this.longLanePercent = longLanePercent;
    }

    /**
     * Applies an announcement.
     *
     * @param announced empty if the target is no longer announced
     */
    void apply(
            Optional<TargetInfo> announced, int lanePercent, boolean nodeDraining, long nowNanos) {
        run(
                nowNanos,
                completions -> {
                    info = announced.orElse(info.withState(TargetState.DRAINING));
                    longLanePercent = lanePercent;
                    closedReason = closedReason(announced, nodeDraining);
                    closedReason.ifPresentOrElse(
                            reason -> refuseAll(reason, completions),
                            () -> drained = drained.isDone() ? new CompletableFuture<>() : drained);
                    return null;
                });
    }

    Pending admit(Request request, long nowNanos) {
        return run(nowNanos, completions -> admitLocked(request, nowNanos, completions));
    }

    /** Refuses expired waiters, moves long requests to the long lane and fills free slots. */
    void update(long nowNanos) {
        run(nowNanos, completions -> null);
    }

    /** Removes a waiter; returns false if it was already admitted or refused. */
    boolean withdraw(Waiter waiter) {
        lock.lock();
        try {
            return queue.remove(waiter);
        } finally {
            lock.unlock();
        }
    }

    boolean close(Ticket ticket, TicketResult result, long nowNanos) {
        return run(
                nowNanos,
                completions -> {
                    if (!ticket.markClosed()) {
                        return false;
                    }
                    if (!shortTickets.remove(ticket)) {
                        longInFlight--;
                    }
                    queue.requestFinished(ticket.request().organisation());
                    if (result != TicketResult.NOT_RUN) {
                        times.finished(
                                ticket.request(),
                                ticket.lane(),
                                ticket.movedToLong(),
                                result == TicketResult.FAILED,
                                nowNanos - ticket.admittedAtNanos(),
                                nowNanos);
                    }
                    return true;
                });
    }

    LoadReport report(long nowNanos) {
        return run(
                nowNanos,
                completions ->
                        new LoadReport(
                                inFlight(),
                                longInFlight,
                                info.slots(),
                                queue.size(),
                                closedReason.isPresent() && info.state() == TargetState.READY
                                        ? TargetState.DRAINING
                                        : info.state(),
                                times.medianMicros(nowNanos),
                                times.errorShare(nowNanos),
                                times.samples(nowNanos)));
    }

    /** Completes when the gate refuses new requests and no request holds a slot. */
    CompletableFuture<Void> drained() {
        lock.lock();
        try {
            return drained;
        } finally {
            lock.unlock();
        }
    }

    boolean idle() {
        lock.lock();
        try {
            return inFlight() == 0 && queue.size() == 0;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Slots that long requests may hold: their share rounded down, but at least one, and at least
     * one slot is left to short requests if there are several.
     */
    static int longLaneSlots(int slots, int percent) {
        int share = Math.max(1, slots * percent / PERCENT);
        return slots > 1 ? Math.min(share, slots - 1) : share;
    }

    private static Optional<RefusalReason> closedReason(
            Optional<TargetInfo> announced, boolean nodeDraining) {
        if (nodeDraining) {
            return Optional.of(RefusalReason.NODE_DRAINING);
        }
        return announced
                .map(TargetInfo::state)
                .map(
                        state ->
                                switch (state) {
                                    case READY -> Optional.<RefusalReason>empty();
                                    case DRAINING -> Optional.of(RefusalReason.TARGET_DRAINING);
                                    case STARTING -> Optional.of(RefusalReason.TARGET_UNKNOWN);
                                })
                .orElse(Optional.of(RefusalReason.TARGET_UNKNOWN));
    }

    private <T> T run(long nowNanos, Change<T> change) {
        List<Runnable> completions = new ArrayList<>(2);
        T result;
        lock.lock();
        try {
            expire(nowNanos, completions);
            moveLongRunning(nowNanos);
            result = change.apply(completions);
            fillSlots(nowNanos, completions);
            if (closedReason.isPresent() && inFlight() == 0 && !drained.isDone()) {
                CompletableFuture<Void> done = drained;
                completions.add(() -> done.complete(null));
            }
        } finally {
            lock.unlock();
        }
        completions.forEach(Runnable::run);
        return result;
    }

    private Pending admitLocked(Request request, long nowNanos, List<Runnable> completions) {
        if (closedReason.isPresent()) {
            return Pending.decided(new Refusal(closedReason.get(), 0));
        }
        if (request.deadlineNanos() - nowNanos <= 0) {
            return Pending.decided(refusal(RefusalReason.DEADLINE_EXCEEDED, Lane.SHORT));
        }
        fillSlots(nowNanos, completions);
        Lane lane = times.laneOf(request);
        if (hasSlot(lane)) {
            return Pending.decided(grant(request, lane, nowNanos));
        }
        return enqueue(request, lane, nowNanos, completions);
    }

    private Pending enqueue(Request request, Lane lane, long nowNanos, List<Runnable> completions) {
        long queueNanos = TimeUnit.MILLISECONDS.toNanos(request.requestClass().queueMillis());
        long deadlineLeft = request.deadlineNanos() - nowNanos;
        Waiter waiter =
                new Waiter(
                        request,
                        lane,
                        nextSequence++,
                        nowNanos + Math.min(queueNanos, deadlineLeft));
        double wait = expectedWaitNanos(lane, queue.countAhead(waiter));
        if (wait + serviceNanos(lane, deadlineLeft) > deadlineLeft) {
            return Pending.decided(refusal(RefusalReason.DEADLINE_EXCEEDED, lane));
        }
        queue.add(waiter);
        boolean ownWaitTooLong = wait > queueNanos;
        if (ownWaitTooLong || lastWaiterExceedsLimit(lane) || queue.size() > MAX_WAITERS) {
            Waiter refused = queue.removeToMakeRoom(waiter, ownWaitTooLong);
            if (refused == waiter) {
                return Pending.decided(refusal(RefusalReason.QUEUE_FULL, lane));
            }
            refuse(refused, RefusalReason.QUEUE_FULL, completions);
        }
        return Pending.queued(this, waiter);
    }

    /** Whether the expected wait of the lane's last waiter exceeds the limit of its class. */
    private boolean lastWaiterExceedsLimit(Lane lane) {
        return queue.last(lane)
                .filter(
                        last ->
                                expectedWaitNanos(lane, queue.countAhead(last))
                                        > TimeUnit.MILLISECONDS.toNanos(
                                                last.request().requestClass().queueMillis()))
                .isPresent();
    }

    /**
     * Expected time from admission until the answer starts, which the deadline limits; at most half
     * of the time left. A long request starts its answer before it ends, so its service time is not
     * counted.
     */
    private double serviceNanos(Lane lane, long deadlineLeft) {
        return lane == Lane.SHORT ? Math.min(times.meanNanos(lane), deadlineLeft / 2.0) : 0;
    }

    /**
     * Expected wait behind a number of waiters. A short request waits for the slots that long
     * requests leave, or for the end of a long request if they leave none.
     */
    private double expectedWaitNanos(Lane lane, int waitersAhead) {
        int shortSlots = info.slots() - longInFlight;
        if (lane == Lane.SHORT && shortSlots > 0) {
            return (waitersAhead + 1) * times.meanNanos(Lane.SHORT) / shortSlots;
        }
        int slots =
                lane == Lane.SHORT ? info.slots() : longLaneSlots(info.slots(), longLanePercent);
        return (waitersAhead + 1) * times.meanNanos(Lane.LONG) / slots;
    }

    private Refusal refusal(RefusalReason reason, Lane lane) {
        double wait = expectedWaitNanos(lane, queue.size());
        return new Refusal(reason, Math.max(1, TimeUnit.NANOSECONDS.toMillis((long) wait)));
    }

    private void refuse(Waiter waiter, RefusalReason reason, List<Runnable> completions) {
        Refusal refusal = refusal(reason, waiter.lane());
        completions.add(() -> waiter.decision().complete(refusal));
    }

    private void refuseAll(RefusalReason reason, List<Runnable> completions) {
        for (Waiter waiter : queue.removeAll(any -> true)) {
            completions.add(() -> waiter.decision().complete(new Refusal(reason, 0)));
        }
    }

    private void expire(long nowNanos, List<Runnable> completions) {
        for (Waiter waiter : queue.removeAll(queued -> queued.expired(nowNanos))) {
            boolean deadline = waiter.request().deadlineNanos() - nowNanos <= 0;
            refuse(
                    waiter,
                    deadline ? RefusalReason.DEADLINE_EXCEEDED : RefusalReason.QUEUE_TIMEOUT,
                    completions);
        }
    }

    private void moveLongRunning(long nowNanos) {
        shortTickets.removeIf(
                ticket -> {
                    Request request = ticket.request();
                    long heldNanos = nowNanos - ticket.admittedAtNanos();
                    if (heldNanos <= times.longAfterNanos(request.requestClass())) {
                        return false;
                    }
                    ticket.moveToLong();
                    longInFlight++;
                    times.ranLong(request);
                    return true;
                });
    }

    private void fillSlots(long nowNanos, List<Runnable> completions) {
        while (queue.size() > 0 && inFlight() < info.slots()) {
            Optional<Waiter> next = queue.poll(this::hasSlot);
            if (next.isEmpty()) {
                return;
            }
            Waiter waiter = next.get();
            Ticket ticket = grant(waiter.request(), waiter.lane(), nowNanos);
            completions.add(() -> waiter.decision().complete(ticket));
        }
    }

    private Ticket grant(Request request, Lane lane, long nowNanos) {
        Ticket ticket = new Ticket(this, request, lane, nowNanos);
        if (lane == Lane.SHORT) {
            shortTickets.add(ticket);
        } else {
            longInFlight++;
        }
        queue.requestStarted(request.organisation());
        return ticket;
    }

    private boolean hasSlot(Lane lane) {
        return inFlight() < info.slots()
                && (lane == Lane.SHORT
                        || longInFlight < longLaneSlots(info.slots(), longLanePercent));
    }

    private int inFlight() {
        return shortTickets.size() + longInFlight;
    }

    /**
     * A change of the state that the lock guards. Adds the completion of futures to a list, which
     * runs after the lock is released.
     */
    private interface Change<T> {
        T apply(List<Runnable> completions);
    }
}
