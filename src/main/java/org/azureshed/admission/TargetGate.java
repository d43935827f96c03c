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
 * <p>Long work is charged at most its lane's slots. Short work may use every slot that long work
 * does not hold. A request of a short class that holds its slot for too long is charged to the long
 * lane from then on, which may put the lane above its limit until requests end.
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

    /** Applies an announcement; an empty one means that the target is no longer announced. */
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

    /** Refuses expired waiters, moves requests that run long, and fills free slots. */
    void settle(long nowNanos) {
        run(nowNanos, completions -> null);
    }

    /** Removes a waiter; returns false if it was decided before. */
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
                    queue.finished(ticket.request().organisation());
                    if (result != TicketResult.NOT_RUN) {
                        times.finished(
                                ticket.request(),
                                ticket.lane(),
                                ticket.movedToLong(),
                                result == TicketResult.FAILED,
                                nowNanos - ticket.admittedAtNanos());
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
                                info.slots(),
                                queue.size(),
                                closedReason.isPresent() && info.state() == TargetState.READY
                                        ? TargetState.DRAINING
                                        : info.state(),
                                times.medianMicros(),
                                times.errorShare(),
                                times.samples()));
    }

    /** Completes when the gate is closed for good and no request holds a slot. */
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

    /** Slots that long work may hold: its share rounded down, but one is left to short work. */
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
        double wait = expectedWaitNanos(lane, queue.ahead(waiter));
        if (wait + serviceNanos(lane, deadlineLeft) > deadlineLeft) {
            return Pending.decided(refusal(RefusalReason.DEADLINE_EXCEEDED, lane));
        }
        queue.add(waiter);
        boolean ownWaitTooLong = wait > queueNanos;
        if (ownWaitTooLong || overfull(lane) || queue.size() > MAX_WAITERS) {
            Waiter refused = queue.removeFor(waiter, ownWaitTooLong);
            if (refused == waiter) {
                return Pending.decided(refusal(RefusalReason.QUEUE_FULL, lane));
            }
            refuse(refused, RefusalReason.QUEUE_FULL, completions);
        }
        return Pending.queued(this, waiter);
    }

    /** Whether the last waiter of the lane will wait longer than its class allows. */
    private boolean overfull(Lane lane) {
        return queue.last(lane)
                .filter(
                        last ->
                                expectedWaitNanos(lane, queue.ahead(last))
                                        > TimeUnit.MILLISECONDS.toNanos(
                                                last.request().requestClass().queueMillis()))
                .isPresent();
    }

    /** The deadline bounds the start of the answer, which for long work comes before its end. */
    private double serviceNanos(Lane lane, long deadlineLeft) {
        return lane == Lane.SHORT ? Math.min(times.meanNanos(lane), deadlineLeft / 2.0) : 0;
    }

    private double expectedWaitNanos(Lane lane, int ahead) {
        int servers =
                lane == Lane.SHORT
                        ? Math.max(1, info.slots() - longInFlight)
                        : longLaneSlots(info.slots(), longLanePercent);
        return (ahead + 1) * times.meanNanos(lane) / servers;
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
                    long held = nowNanos - ticket.admittedAtNanos();
                    if (held <= times.longAfterNanos(request.requestClass())) {
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
        queue.started(request.organisation());
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

    /** A change of the guarded state that may decide waiting requests. */
    private interface Change<T> {
        T apply(List<Runnable> completions);
    }
}
