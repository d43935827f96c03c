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
 * Decides which requests a node's targets run now, later or not at all. Thread-safe.
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
     * Applies the announced targets and the policies in force. Slots and lanes change without
     * effect on requests in flight. A target that is no longer announced, or announced as draining,
     * takes no new work and refuses its waiters.
     *
     * @param targets all targets that this node hosts
     * @param services policies by service; a service without one gives half of its slots to long
     *     work at most
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
     * Asks for a slot.
     *
     * @param request the request
     * @param nowNanos current time
     * @return the decision, or the place in the queue
     */
    public Pending admit(Request request, long nowNanos) {
        TargetGate gate = gates.get(request.target());
        if (gate == null) {
            return Pending.decided(new Refusal(RefusalReason.TARGET_UNKNOWN, 0));
        }
        return gate.admit(request, nowNanos);
    }

    /**
     * The load of a target, for entry sides.
     *
     * @param target the target
     * @param nowNanos current time
     * @return the report, or empty if this node does not host the target
     */
    public Optional<LoadReport> report(TargetId target, long nowNanos) {
        return Optional.ofNullable(gates.get(target)).map(gate -> gate.report(nowNanos));
    }

    /**
     * Closes the node: no target takes new work, waiters are refused and requests in flight finish.
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
     * Tells when a draining target has finished its requests. A target that is announced as ready
     * again gets a new future if the former one is complete.
     *
     * @param target the target
     * @return completes when the target is closed to new work and no request holds a slot; complete
     *     if this node does not host the target
     */
    public CompletableFuture<Void> drained(TargetId target) {
        TargetGate gate = gates.get(target);
        return gate == null ? CompletableFuture.completedFuture(null) : gate.drained();
    }

    /** A gate without announcement stays while requests hold slots, so that slots stay exact. */
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
