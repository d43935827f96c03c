package org.azureshed.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.ServicePolicy;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;

/**
 * Admission control of the targets that a node hosts: each request gets a slot, waits in a queue or
 * is refused. Thread-safe.
 *
 * <pre>{@code
 * admission.apply(node.targets(), preset.services(), System.nanoTime());
 * Decision decision = admission.admit(request, System.nanoTime()).await(System::nanoTime);
 * }</pre>
 */
public final class Admission {
    private static final int DEFAULT_LONG_LANE_PERCENT = 50;

    private final ReentrantLock lock = new ReentrantLock();
    private volatile Map<TargetId, TargetGate> gates = Map.of();
    private List<TargetInfo> announced = List.of();
    private Map<String, ServicePolicy> policies = Map.of();
    private boolean draining;

    /**
     * Applies the announced targets and the active policies. A change of slots or lanes does not
     * affect requests in flight. New requests and waiters of a target that is not announced as
     * ready are refused.
     *
     * @param targets all targets that this node hosts
     * @param services policies by service; a service without one gives at most half of its slots to
     *     long requests
     * @param nowNanos current time
     */
    public void apply(
            List<TargetInfo> targets, Map<String, ServicePolicy> services, long nowNanos) {
        lock.lock();
        try {
            announced = List.copyOf(targets);
            policies = services;
            applyLocked(nowNanos);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Requests a slot.
     *
     * @param request the request that needs the slot
     * @param nowNanos current time
     * @return the decision, which is pending while the request waits in the queue
     */
    public Pending admit(Request request, long nowNanos) {
        TargetGate gate = gates.get(request.target());
        if (gate == null) {
            return Pending.decided(new Refusal(RefusalReason.TARGET_UNKNOWN, 0));
        }
        return gate.admit(request, nowNanos);
    }

    /**
     * The load of a target, which answers carry to entry sides.
     *
     * @param target id of a target
     * @param nowNanos current time
     * @return the report, or empty if this node does not host the target
     */
    public Optional<LoadReport> report(TargetId target, long nowNanos) {
        return Optional.ofNullable(gates.get(target)).map(gate -> gate.report(nowNanos));
    }

    /**
     * Drains the node: new requests and waiters are refused, and requests in flight finish.
     *
     * @param nowNanos current time
     * @return completes when no request holds a slot
     */
    public CompletableFuture<Void> drain(long nowNanos) {
        lock.lock();
        try {
            draining = true;
            applyLocked(nowNanos);
            return CompletableFuture.allOf(
                    gates.values().stream()
                            .map(TargetGate::drained)
                            .toArray(CompletableFuture<?>[]::new));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns a future that completes when a draining target has finished its requests. A target
     * that is announced as ready again gets a new future if the previous one is complete.
     *
     * @param target id of a target
     * @return completes when the target refuses new requests and no request holds a slot; already
     *     complete if this node does not host the target
     */
    public CompletableFuture<Void> drained(TargetId target) {
        TargetGate gate = gates.get(target);
        return gate == null ? CompletableFuture.completedFuture(null) : gate.drained();
    }

    /**
     * Updates the gates. The gate of a target that is no longer announced is kept while it has
     * requests in flight, so that they are still counted if the target is announced again.
     */
    private void applyLocked(long nowNanos) {
        Map<TargetId, TargetInfo> infos = new HashMap<>();
        announced.forEach(target -> infos.put(target.id(), target));
        Map<TargetId, TargetGate> next = new HashMap<>(gates);
        infos.forEach(
                (id, target) ->
                        next.computeIfAbsent(
                                id, key -> new TargetGate(target, lanePercent(target))));
        next.forEach(
                (id, gate) -> {
                    Optional<TargetInfo> target = Optional.ofNullable(infos.get(id));
                    int percent = target.map(this::lanePercent).orElse(DEFAULT_LONG_LANE_PERCENT);
                    gate.apply(target, percent, draining, nowNanos);
                });
        next.entrySet().removeIf(e -> !infos.containsKey(e.getKey()) && e.getValue().idle());
        gates = Map.copyOf(next);
    }

    private int lanePercent(TargetInfo target) {
        ServicePolicy policy = policies.get(target.service());
        return policy == null ? DEFAULT_LONG_LANE_PERCENT : policy.longLanePercent();
    }
}
