package org.azureshed.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.azureshed.directory.NodeEntry;
import org.azureshed.model.RefusalReason;

/**
 * State machine for one request at the entry side, from its arrival until the caller is answered,
 * which happens exactly once.
 *
 * <p>The request is offered to one target after another until one has a free slot. If none has, it
 * is queued at the target with the shortest expected wait. After a failure it is sent to another
 * target only if it did not run, or if it may run more than once and the host side's retry budget
 * allows it. A repeatable request that has no answer within the route's target latency is hedged:
 * it is sent to a second target, and the first answer is used.
 *
 * <p>Not thread-safe. Every call returns the effects to carry out, in order.
 */
public final class Exchange {
    /** Immediate offers per request; more would add load when all targets are busy. */
    static final int MAX_IMMEDIATE_OFFERS = 12;

    /** Offers with queueing, including forced ones, before the request is refused. */
    static final int MAX_QUEUE_OFFERS = 3;

    /**
     * Refusals for the retry budget after which no more targets are tried. Asking more of them
     * rarely finds one with budget left.
     */
    static final int MAX_BUDGET_REFUSALS = 5;

    /** Unreachable nodes after which no further immediate offers are made. */
    static final int MAX_PATH_FAILURES = 6;

    /**
     * With less time than this before the deadline, a retry or hedge would not finish; on routes
     * with a shorter latency objective the objective counts.
     */
    private static final long MIN_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * Earliest hedged attempt, measured from the request's arrival; for requests with little time
     * to live a third of that time.
     */
    private static final long MIN_HEDGE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Divisor of the time to live; leaves a hedged attempt twice the time of the first one. */
    private static final int HEDGE_DIVISOR = 3;

    /** Covers the way to a target in another availability zone and back. */
    private static final long MIN_OBJECTIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final long MIN_RETRY_AFTER_MILLIS = 250;

    /** Longest Retry-After, including the jitter, which at most doubles it. */
    private static final long MAX_RETRY_AFTER_MILLIS = 2_000;

    private static final int FIRST_SERVER_ERROR = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private final ForwardRoute route;
    private final long startNanos;
    private final long deadlineNanos;
    private final double jitter;
    private final List<NodeEntry> candidates;

    private final Map<Integer, Attempt> attempts = new HashMap<>();
    private final Set<String> admittedNodes = new HashSet<>();

    /** Nodes that refused or failed; they may be offered the request again only with queueing. */
    private final Set<String> excludedNodes = new HashSet<>();

    /** Estimated wait at nodes that refused because no slot was free. */
    private final Map<String, Long> queueWaitMillis = new HashMap<>();

    /** Expected wait at nodes that had queued the request and then refused it. */
    private final Map<String, Long> displacedWaitMillis = new HashMap<>();

    /** Nodes that refused because their target is suspect. */
    private final Set<String> suspectNodes = new HashSet<>();

    private final List<ExchangeEffect> effects = new ArrayList<>();
    private RefusalReason lastRefusal = RefusalReason.NO_TARGET;
    private int nextAttempt;
    private int immediateOffers;
    private int queueOffers;
    private int pathFailures;
    private int budgetRefusals;
    private int sent;

    /** Whether an attempt that has ended may have run the request. */
    private boolean mayHaveRun;

    /** Time of the last admission; the start time before the first one. */
    private long lastAdmittedNanos;

    private boolean hedged;

    /** Whether the node's stop forbids sending a request that has not run. */
    private boolean startsEnded;

    private boolean done;

    /** An attempt that is offered, queued or running at a node. */
    private static final class Attempt {
        private final NodeEntry node;
        private final OfferMode mode;
        private boolean admitted;

        Attempt(NodeEntry node, OfferMode mode) {
            this.node = node;
            this.mode = mode;
        }
    }

    /**
     * Creates the state machine of one request.
     *
     * @param route the request's route
     * @param candidates nodes with targets of the request's service, best first
     * @param startNanos arrival time of the request
     * @param deadlineNanos deadline by which the answer must have started
     * @param jitter random number from 0 to 1; Retry-After is lengthened by this share, so that
     *     refused callers don't all return at the same moment
     */
    public Exchange(
            ForwardRoute route,
            List<NodeEntry> candidates,
            long startNanos,
            long deadlineNanos,
            double jitter) {
        this.route = route;
        this.candidates = List.copyOf(candidates);
        this.startNanos = startNanos;
        this.lastAdmittedNanos = startNanos;
        this.deadlineNanos = deadlineNanos;
        this.jitter = jitter;
    }

    /**
     * Applies an event.
     *
     * @param event the event
     * @param nowNanos current time
     * @return effects to carry out, in order; empty once the final answer is decided
     */
    public List<ExchangeEffect> handle(ExchangeEvent event, long nowNanos) {
        if (done) {
            return List.of();
        }
        effects.clear();
        switch (event) {
            case ExchangeEvent.Started ignored -> {
                offerNext(nowNanos);
                setTimer(nowNanos);
            }
            case ExchangeEvent.Admitted admitted -> onAdmitted(admitted, nowNanos);
            case ExchangeEvent.Refused refused -> onRefused(refused, nowNanos);
            case ExchangeEvent.PathFailed failed -> onPathFailed(failed, nowNanos);
            case ExchangeEvent.Shed shed -> onShed(shed, nowNanos);
            case ExchangeEvent.OutcomeUnknown unknown -> onOutcomeUnknown(unknown, nowNanos);
            case ExchangeEvent.Answered answered -> onAnswered(answered, nowNanos);
            case ExchangeEvent.StartsEnded ignored -> onStartsEnded();
            case ExchangeEvent.Stopped ignored ->
                    abort(RefusalReason.NODE_DRAINING, "node stopped");
            case ExchangeEvent.TimerFired ignored -> onTimerFired(nowNanos);
        }
        return List.copyOf(effects);
    }

    /**
     * Whether the final answer has been decided.
     *
     * @return true if no more effects follow
     */
    public boolean done() {
        return done;
    }

    /**
     * Number of attempts in which the request was sent to a target.
     *
     * @return 0 if no target has received the request
     */
    public int sent() {
        return sent;
    }

    private void onAdmitted(ExchangeEvent.Admitted event, long nowNanos) {
        Attempt attempt = attempts.get(event.attempt());
        if (attempt == null) {
            return;
        }
        attempt.admitted = true;
        lastAdmittedNanos = nowNanos;
        sent++;
        admittedNodes.add(attempt.node.name());
        setTimer(nowNanos);
    }

    private void onRefused(ExchangeEvent.Refused event, long nowNanos) {
        Attempt attempt = attempts.remove(event.attempt());
        if (attempt == null) {
            return;
        }
        if (attempt.admitted) {
            // The target accepted no connection, so the admitted request was not sent.
            sent--;
        }
        HostRefusal refusal = event.refusal();
        lastRefusal = refusal.reason();
        String name = attempt.node.name();
        excludedNodes.add(name);
        if (refusal.suspect()) {
            suspectNodes.add(name);
        }
        boolean gaveWay =
                refusal.reason() == RefusalReason.DISPLACED
                        || refusal.reason() == RefusalReason.QUEUE_TIMEOUT;
        if (gaveWay && refusal.waitMillis() > 0) {
            displacedWaitMillis.put(name, refusal.waitMillis());
        }
        if (refusal.reason() == RefusalReason.QUEUE_FULL && attempt.mode == OfferMode.IMMEDIATE) {
            queueWaitMillis.put(name, refusal.waitMillis());
        } else if (attempt.mode != OfferMode.IMMEDIATE) {
            queueWaitMillis.remove(name);
            suspectNodes.remove(name);
        }
        if (refusal.reason() == RefusalReason.RETRY_BUDGET) {
            budgetRefusals++;
        }
        offerNext(nowNanos);
    }

    private void onPathFailed(ExchangeEvent.PathFailed event, long nowNanos) {
        Attempt attempt = attempts.remove(event.attempt());
        if (attempt == null) {
            return;
        }
        lastRefusal = RefusalReason.NODE_UNREACHABLE;
        excludedNodes.add(attempt.node.name());
        queueWaitMillis.remove(attempt.node.name());
        pathFailures++;
        offerNext(nowNanos);
    }

    private void onShed(ExchangeEvent.Shed event, long nowNanos) {
        Attempt attempt = attempts.remove(event.attempt());
        if (attempt == null) {
            return;
        }
        lastRefusal = event.reason();
        excludedNodes.add(attempt.node.name());
        queueWaitMillis.remove(attempt.node.name());
        // A shed request has not run, but sending it again still counts as a retry.
        if (retryAllowed(nowNanos)) {
            offerNext(nowNanos);
        } else {
            finishIfIdle(nowNanos, GATEWAY_TIMEOUT, "shed");
        }
    }

    private void onOutcomeUnknown(ExchangeEvent.OutcomeUnknown event, long nowNanos) {
        Attempt attempt = attempts.remove(event.attempt());
        if (attempt == null) {
            return;
        }
        mayHaveRun = true;
        excludedNodes.add(attempt.node.name());
        if (route.repeatable() && attempts.isEmpty() && retryAllowed(nowNanos)) {
            offerNext(nowNanos);
        } else {
            finishIfIdle(nowNanos, BAD_GATEWAY, "target failed without an answer");
        }
    }

    private void onAnswered(ExchangeEvent.Answered event, long nowNanos) {
        Attempt attempt = attempts.get(event.attempt());
        if (attempt == null) {
            return;
        }
        boolean retriable =
                event.status() >= FIRST_SERVER_ERROR
                        && event.status() != GATEWAY_TIMEOUT
                        && route.repeatable();
        if (retriable && attempts.size() > 1) {
            attempts.remove(event.attempt());
            mayHaveRun = true;
            return;
        }
        if (retriable && retryAllowed(nowNanos)) {
            attempts.remove(event.attempt());
            mayHaveRun = true;
            excludedNodes.add(attempt.node.name());
            offerNext(nowNanos);
            return;
        }
        attempts.remove(event.attempt());
        cancelAll();
        done = true;
        effects.add(new ExchangeEffect.Deliver(event.attempt()));
    }

    private void onTimerFired(long nowNanos) {
        if (nowNanos - deadlineNanos >= 0) {
            abort(RefusalReason.DEADLINE_EXCEEDED, "deadline");
            return;
        }
        if (hedgeDue(nowNanos) && retryAllowed(nowNanos)) {
            hedged = true;
            offerNext(nowNanos);
        }
        setTimer(nowNanos);
    }

    private void onStartsEnded() {
        startsEnded = true;
        if (!mayHaveRunAnywhere()) {
            abort(RefusalReason.NODE_DRAINING, "node stopping");
        }
    }

    private boolean mayHaveRunAnywhere() {
        return mayHaveRun || attempts.values().stream().anyMatch(attempt -> attempt.admitted);
    }

    /** Ends the request: refused if no target can have received it, otherwise failed. */
    private void abort(RefusalReason refusal, String cause) {
        boolean unknown = mayHaveRunAnywhere();
        cancelAll();
        done = true;
        effects.add(
                unknown
                        ? new ExchangeEffect.Fail(GATEWAY_TIMEOUT, cause)
                        : new ExchangeEffect.Refuse(refusal, retryAfterMillis()));
    }

    private boolean hedgeDue(long nowNanos) {
        return route.repeatable()
                && !hedged
                && attempts.size() == 1
                && attempts.values().iterator().next().admitted
                && nowNanos - hedgeNanos() >= 0;
    }

    private long objectiveNanos() {
        return TimeUnit.MILLISECONDS.toNanos(route.targetLatencyMillis());
    }

    /**
     * Time of the hedge: when the latency objective has passed, or, for a request that waited
     * longer than that for a slot, when it has passed once more since the admission.
     */
    private long hedgeNanos() {
        long earliest = Math.min(MIN_HEDGE_NANOS, (deadlineNanos - startNanos) / HEDGE_DIVISOR);
        long delay = Math.max(earliest, objectiveNanos());
        boolean admittedLate = lastAdmittedNanos - startNanos > delay;
        return (admittedLate ? lastAdmittedNanos : startNanos) + delay;
    }

    private void setTimer(long nowNanos) {
        boolean hedgePossible = route.repeatable() && !hedged && nowNanos - hedgeNanos() < 0;
        long next = hedgePossible ? Math.min(hedgeNanos(), deadlineNanos) : deadlineNanos;
        effects.add(new ExchangeEffect.SetTimer(next));
    }

    /** Whether attempts and time allow a retry; the host side checks the retry budget. */
    private boolean retryAllowed(long nowNanos) {
        long needed = Math.min(MIN_RETRY_NANOS, Math.max(MIN_OBJECTIVE_NANOS, objectiveNanos()));
        return sent < route.attempts() && deadlineNanos - nowNanos > needed;
    }

    private void offerNext(long nowNanos) {
        if (startsEnded && !mayHaveRunAnywhere()) {
            abort(RefusalReason.NODE_DRAINING, "node stopping");
            return;
        }
        if (budgetRefusals >= MAX_BUDGET_REFUSALS) {
            finishIfIdle(nowNanos, BAD_GATEWAY, "retry budget used up");
            return;
        }
        if (immediateOffers < MAX_IMMEDIATE_OFFERS && pathFailures < MAX_PATH_FAILURES) {
            for (NodeEntry node : candidates) {
                if (!excludedNodes.contains(node.name()) && !admittedNodes.contains(node.name())) {
                    immediateOffers++;
                    offer(node, OfferMode.IMMEDIATE);
                    return;
                }
            }
        }
        NodeEntry shortest = shortestQueue();
        if (shortest != null && queueOffers < MAX_QUEUE_OFFERS) {
            queueOffers++;
            queueWaitMillis.remove(shortest.name());
            offer(shortest, OfferMode.QUEUE);
            return;
        }
        for (NodeEntry node : candidates) {
            if (suspectNodes.remove(node.name()) && queueOffers < MAX_QUEUE_OFFERS) {
                queueOffers++;
                offer(node, OfferMode.FORCE);
                return;
            }
        }
        finishIfIdle(nowNanos, BAD_GATEWAY, "no further target for a failed request");
    }

    private NodeEntry shortestQueue() {
        NodeEntry best = null;
        long bestWait = Long.MAX_VALUE;
        for (NodeEntry node : candidates) {
            Long wait = queueWaitMillis.get(node.name());
            if (wait != null && wait < bestWait) {
                best = node;
                bestWait = wait;
            }
        }
        return best;
    }

    private void offer(NodeEntry node, OfferMode mode) {
        int number = nextAttempt++;
        attempts.put(number, new Attempt(node, mode));
        effects.add(new ExchangeEffect.Offer(number, node, mode));
    }

    private void finishIfIdle(long nowNanos, int status, String cause) {
        if (!attempts.isEmpty()) {
            return;
        }
        done = true;
        if (mayHaveRun) {
            effects.add(new ExchangeEffect.Fail(status, cause));
        } else {
            effects.add(new ExchangeEffect.Refuse(lastRefusal, retryAfterMillis()));
        }
    }

    /**
     * Time after which the caller may send the request again: from the shortest expected wait up to
     * twice that time, so that callers refused together return over the time in which the queues
     * become shorter.
     */
    private long retryAfterMillis() {
        long shortest =
                Stream.concat(
                                queueWaitMillis.values().stream(),
                                displacedWaitMillis.values().stream())
                        .mapToLong(Long::longValue)
                        .min()
                        .orElse(MIN_RETRY_AFTER_MILLIS);
        long bounded = Math.clamp(shortest, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS / 2);
        return bounded + (long) (jitter * bounded);
    }

    private void cancelAll() {
        attempts.keySet().forEach(number -> effects.add(new ExchangeEffect.Cancel(number)));
        attempts.clear();
    }
}
