package org.azureshed.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.azureshed.directory.Condition;
import org.azureshed.directory.TargetEntry;
import org.azureshed.dispatch.HostRefusal;
import org.azureshed.dispatch.OfferMode;
import org.azureshed.model.RefusalReason;

/**
 * Admission control for the target beside this node: its slots and its queue. All requests to the
 * target pass through this gate, so it knows the free slots without asking the target. Not
 * thread-safe.
 *
 * <p>A request is queued only if it is expected to end by its soft deadline, or by its deadline if
 * it could not meet the soft one even without waiting; otherwise it is refused at once. A longer
 * queue would not serve more requests, only serve all of them late.
 *
 * <p>With {@link QueuePolicy#BY_COST}, a waiting request gives way to a newcomer that is worth more
 * and could not be queued otherwise. At most one gives way to each newcomer, so that no more
 * requests are refused than without displacement. {@link WaitingQueue} states the order of the
 * queue and the worth.
 */
public final class HostGate {
    /** Longest queue per slot; a longer one would only hold requests that time out. */
    private static final int MAX_QUEUE_PER_SLOT = 6;

    /**
     * Slots used while the target has no recent success. A faulty target may accept connections and
     * reset them only later, which loses every request in flight.
     */
    private static final int SLOTS_WITHOUT_SUCCESS = 2;

    /** Assumed run time before the first run. */
    private static final double DEFAULT_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final TargetHealth health = new TargetHealth();
    private final QueuePolicy policy;
    private final RouteWork routeWork = new RouteWork();
    private final Map<Long, OfferedRequest> running = new HashMap<>();
    private final WaitingQueue queue;
    private final RetryBudgetShare retries;
    private final TargetActivity activity;
    private Optional<TargetEntry> target = Optional.empty();
    private boolean nodeStopping;

    /**
     * Creates a gate without a target.
     *
     * @param retries the target's share of its service's retry budget
     * @param policy which requests wait, and in which order
     * @param startNanos start of this process
     */
    public HostGate(RetryBudgetShare retries, QueuePolicy policy, long startNanos) {
        this.policy = policy;
        this.queue = new WaitingQueue(policy, this::workNanos);
        this.retries = retries;
        this.activity = new TargetActivity(startNanos);
    }

    /**
     * Sets the number of targets that share the service's retry budget.
     *
     * @param targets number of usable targets of the service, at least 1
     */
    public void setRetryBudgetTargets(int targets) {
        retries.setTargets(targets);
    }

    /**
     * The decision about a request that was waiting in the queue.
     *
     * @param offered the request
     * @param decision whether it got a slot or was refused
     */
    public record QueueDecision(OfferedRequest offered, AdmissionDecision decision) {}

    /**
     * Applies the target's latest announced state. If the target has been replaced, is leaving or
     * is gone, all waiting requests are refused; otherwise free slots are filled from the queue.
     *
     * @param announced the target, or empty if there is none
     * @param nowNanos current time
     * @return decisions about waiting requests
     */
    public List<QueueDecision> apply(Optional<TargetEntry> announced, long nowNanos) {
        boolean replaced = isReplacedBy(announced);
        target = announced;
        if (replaced || announced.isEmpty() || !announced.get().condition().usable()) {
            return refuseAll(RefusalReason.TARGET_DRAINING);
        }
        return admitWaiting(nowNanos);
    }

    /**
     * Whether an announced target replaces the current one: it has another id, or the same id and
     * another start time.
     *
     * @param announced the target, or empty if there is none
     * @return true if the current target has ended; false if there is no current or no announced
     *     target
     */
    public boolean isReplacedBy(Optional<TargetEntry> announced) {
        return target.isPresent()
                && announced.isPresent()
                && !(target.get().id().equals(announced.get().id())
                        && target.get().startMillis() == announced.get().startMillis());
    }

    /**
     * Refuses all waiting and all later requests, because the node is stopping.
     *
     * @return refusals of the waiting requests
     */
    public List<QueueDecision> stop() {
        nodeStopping = true;
        return refuseAll(RefusalReason.NODE_DRAINING);
    }

    /**
     * Admits, queues or refuses an offered request.
     *
     * @param offered the request
     * @param nowNanos current time
     * @return the decision; one to queue the request has the refusals of waiting requests that
     *     follow from it
     */
    public AdmissionDecision offer(OfferedRequest offered, long nowNanos) {
        Optional<RefusalReason> refusalReason = unavailableReason(offered);
        if (refusalReason.isPresent()) {
            return refused(refusalReason.get(), 0, false);
        }
        if (health.condition(nowNanos) == Condition.SUSPECT && offered.mode() != OfferMode.FORCE) {
            if (offered.retry() && !retries.allowsRetry(nowNanos)) {
                // Checked before the trial starts: a refused retry must not use it up.
                return refused(RefusalReason.RETRY_BUDGET, 0, false);
            }
            boolean trial =
                    offered.repeatable() && hasFreeSlot(nowNanos) && health.startTrial(nowNanos);
            if (!trial) {
                return refused(RefusalReason.TARGET_SUSPECT, 0, true);
            }
        }
        if (hasFreeSlot(nowNanos) && queue.size() == 0) {
            if (!countTowardsBudget(offered, nowNanos)) {
                return refused(RefusalReason.RETRY_BUDGET, 0, false);
            }
            running.put(offered.id(), offered);
            return new AdmissionDecision.Admitted();
        }
        return offerToQueue(offered, nowNanos);
    }

    /**
     * Frees the slot of a request whose run has ended, or that ended without a run, for example
     * because its body did not arrive in time. Gives the slot to a waiting request.
     *
     * @param offered the admitted request; ignored if it holds no slot
     * @param result result of the run
     * @param runNanos run time in nanoseconds
     * @param nowNanos current time
     * @return decisions about waiting requests: those that got the slot, and refusals of those that
     *     cannot end in time any more
     */
    public List<QueueDecision> release(
            OfferedRequest offered, RunResult result, long runNanos, long nowNanos) {
        if (running.remove(offered.id()) == null) {
            return List.of();
        }
        health.recordResult(result, runNanos, nowNanos);
        if (result == RunResult.SUCCESS) {
            routeWork.record(offered.route(), runNanos);
        }
        activity.active(nowNanos);
        List<QueueDecision> decisions = new ArrayList<>(admitWaiting(nowNanos));
        decisions.addAll(refuseHopeless(nowNanos));
        return List.copyOf(decisions);
    }

    /**
     * Judges the runs that have no answer yet. If the target turns out to be mute, the waiting
     * requests are refused, so that they go elsewhere at once.
     *
     * @param startsNanos start times of the runs without any part of an answer
     * @param nowNanos current time
     * @return refusals of waiting requests
     */
    public List<QueueDecision> checkSilence(List<Long> startsNanos, long nowNanos) {
        return health.checkSilence(startsNanos, DEFAULT_RUN_NANOS, nowNanos)
                ? refuseAll(RefusalReason.TARGET_SUSPECT)
                : List.of();
    }

    /**
     * Removes a request from the queue, for example because its caller disconnected.
     *
     * @param offered the request
     * @return true if the request was waiting
     */
    public boolean withdraw(OfferedRequest offered) {
        return queue.remove(offered);
    }

    /**
     * Refuses waiting requests that cannot end by their deadline any more: by cost, given the work
     * of those that are served before them; by deadline, even if they got a slot now.
     *
     * @param nowNanos current time
     * @return refusals of these requests
     */
    public List<QueueDecision> expire(long nowNanos) {
        if (policy == QueuePolicy.BY_COST) {
            return refuseHopeless(nowNanos);
        }
        return queue.removeLate(runNanos(), nowNanos).stream()
                .map(
                        offered ->
                                new QueueDecision(
                                        offered, refused(RefusalReason.QUEUE_TIMEOUT, 0, false)))
                .toList();
    }

    /**
     * The target as last announced.
     *
     * @return the target, or empty if there is none
     */
    public Optional<TargetEntry> target() {
        return target;
    }

    /**
     * The target's condition, derived from the results of its recent runs.
     *
     * @param nowNanos current time
     * @return serving, slow or suspect
     */
    public Condition condition(long nowNanos) {
        return health.condition(nowNanos);
    }

    /**
     * Whether the target is running a retry.
     *
     * @return true if calls that the target makes now may be caused by a retry
     */
    public boolean isRunningRetry() {
        return running.values().stream().anyMatch(OfferedRequest::retry);
    }

    /**
     * Whether a request that begins on this VM may be a call of the target.
     *
     * @param nowNanos current time
     * @return false only if the target has not held a request for longer than any request lasts
     */
    public boolean targetCallPossible(long nowNanos) {
        return activity.mayBeRunning(running.size(), nowNanos);
    }

    /**
     * Number of requests that hold a slot.
     *
     * @return 0 or more
     */
    public int runningCount() {
        return running.size();
    }

    /**
     * Number of requests that wait for a slot.
     *
     * @return 0 or more
     */
    public int waitingCount() {
        return queue.size();
    }

    private AdmissionDecision offerToQueue(OfferedRequest offered, long nowNanos) {
        double aheadNanos = queue.workAheadNanos(offered, nowNanos);
        boolean inTime = canFinishInTime(offered, aheadNanos, nowNanos);
        boolean queueHasSpace = queue.size() < MAX_QUEUE_PER_SLOT * slots();
        AdmissionDecision refusal =
                refused(RefusalReason.QUEUE_FULL, waitMillis(aheadNanos), false);
        if (offered.mode() == OfferMode.IMMEDIATE) {
            return refusal;
        }
        Optional<OfferedRequest> displaced = Optional.empty();
        if (!inTime || !queueHasSpace) {
            if (policy == QueuePolicy.BY_DEADLINE) {
                return refusal;
            }
            displaced = queue.worseThan(offered, !inTime, Math.max(1, slots()), nowNanos);
            if (displaced.isEmpty()
                    || !canFinishInTime(
                            offered,
                            aheadNanos - (inTime ? 0 : workNanos(displaced.get())),
                            nowNanos)) {
                return refusal;
            }
        }
        if (!countTowardsBudget(offered, nowNanos)) {
            return refused(RefusalReason.RETRY_BUDGET, 0, false);
        }
        displaced.ifPresent(queue::remove);
        queue.add(offered);
        List<QueueDecision> refusals = new ArrayList<>();
        displaced.ifPresent(
                other ->
                        refusals.add(
                                new QueueDecision(
                                        other,
                                        refused(
                                                RefusalReason.DISPLACED,
                                                waitMillis(aheadNanos),
                                                false))));
        refusals.addAll(refuseHopeless(nowNanos));
        return new AdmissionDecision.Queued(List.copyOf(refusals));
    }

    private List<QueueDecision> refuseHopeless(long nowNanos) {
        if (policy == QueuePolicy.BY_DEADLINE) {
            return List.of();
        }
        long waitMillis = waitMillis(queue.totalWorkNanos());
        return queue.removeHopeless(Math.max(1, slots()), nowNanos).stream()
                .map(
                        offered ->
                                new QueueDecision(
                                        offered,
                                        refused(RefusalReason.QUEUE_TIMEOUT, waitMillis, false)))
                .toList();
    }

    private double workNanos(OfferedRequest offered) {
        return policy == QueuePolicy.BY_DEADLINE
                ? runNanos()
                : routeWork.expectedNanos(offered.route(), runNanos());
    }

    /** Counts the request towards the retry budget; false if it is a retry beyond the budget. */
    private boolean countTowardsBudget(OfferedRequest offered, long nowNanos) {
        if (offered.retry()) {
            return retries.tryRetry(nowNanos);
        }
        if (offered.retryInduced()) {
            retries.retryInducedRequestStarted(nowNanos);
        } else {
            retries.requestStarted(nowNanos);
        }
        return true;
    }

    private Optional<RefusalReason> unavailableReason(OfferedRequest offered) {
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

    private List<QueueDecision> admitWaiting(long nowNanos) {
        List<QueueDecision> admitted = new ArrayList<>();
        while (hasFreeSlot(nowNanos) && queue.size() > 0) {
            OfferedRequest next = queue.take(nowNanos);
            running.put(next.id(), next);
            admitted.add(new QueueDecision(next, new AdmissionDecision.Admitted()));
        }
        return admitted;
    }

    private List<QueueDecision> refuseAll(RefusalReason reason) {
        return queue.removeAll().stream()
                .map(offered -> new QueueDecision(offered, refused(reason, 0, false)))
                .toList();
    }

    private static AdmissionDecision refused(
            RefusalReason reason, long waitMillis, boolean suspect) {
        return new AdmissionDecision.Refused(new HostRefusal(reason, waitMillis, suspect));
    }

    private boolean hasFreeSlot(long nowNanos) {
        int usable =
                health.succeededRecently(nowNanos)
                        ? slots()
                        : Math.min(SLOTS_WITHOUT_SUCCESS, slots());
        return running.size() < usable;
    }

    private int slots() {
        return target.map(TargetEntry::slots).orElse(0);
    }

    /**
     * Mean run time of recent requests.
     *
     * @return nanoseconds; a default before the first run
     */
    public double runNanos() {
        return health.recentNanos(DEFAULT_RUN_NANOS);
    }

    private boolean canFinishInTime(OfferedRequest offered, double aheadNanos, long nowNanos) {
        return nowNanos + waitNanos(aheadNanos) + workNanos(offered)
                <= waitDeadlineNanos(offered, nowNanos);
    }

    /** Expected wait for a slot behind some work: a running request has to end first. */
    private double waitNanos(double aheadNanos) {
        return (aheadNanos + runNanos()) / Math.max(1, slots());
    }

    private long waitMillis(double aheadNanos) {
        return (long) (waitNanos(aheadNanos) / NANOS_PER_MILLI);
    }

    /**
     * Time by which a queued request must be expected to finish: its soft deadline, or its deadline
     * if the soft one cannot be met even without waiting.
     */
    private double waitDeadlineNanos(OfferedRequest offered, long nowNanos) {
        return nowNanos + workNanos(offered) > offered.softDeadlineNanos()
                ? offered.deadlineNanos()
                : Math.min(offered.softDeadlineNanos(), offered.deadlineNanos());
    }
}
