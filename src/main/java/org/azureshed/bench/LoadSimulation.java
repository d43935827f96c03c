package org.azureshed.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;
import org.azureshed.routing.Candidate;
import org.azureshed.routing.RetryBudget;

/**
 * Simulates entry nodes and hosts in virtual time, with one policy. Entry nodes and hosts are
 * spread evenly over the availability zones.
 */
final class LoadSimulation {
    /** Nothing connects to it. */
    private static final Endpoint UNUSED_ADDRESS = new Endpoint("127.0.0.1", 1);

    /** One-way network time within an availability zone. */
    private static final long SAME_ZONE_NANOS = TimeUnit.MICROSECONDS.toNanos(200);

    private static final int ZONES = 4;
    private static final int MAX_ATTEMPTS = 3;

    /** Factor on service times of a target that has just become ready; decreases linearly to 1. */
    private static final double COLD_SLOWDOWN = 5;

    private static final double WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final LoadScenario scenario;
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final Map<TargetId, Integer> hostIndexes = new HashMap<>();
    private final List<LoadBalancer> balancers = new ArrayList<>();
    private final List<RetryBudget> retryBudgets = new ArrayList<>();
    private final Map<String, ClassStatistics> statisticsByClass = new HashMap<>();
    private List<Candidate> candidates = new ArrayList<>();

    LoadSimulation(LoadScenario scenario, LoadPolicy policy) {
        this.scenario = scenario;
        for (int i = 0; i < scenario.targetCount(); i++) {
            int index = i;
            boolean cold = i >= scenario.warmTargetCount();
            TargetInfo target =
                    new TargetInfo(
                            new TargetId("t" + i),
                            scenario.policy().name(),
                            UNUSED_ADDRESS,
                            scenario.slotsPerTarget(),
                            TargetState.READY);
            hostIndexes.put(target.id(), i);
            hosts.add(policy.newHost(scheduler, target, scenario, r -> serviceNanos(r, index)));
            candidates.add(candidate(i, target, cold));
            if (cold) {
                scheduler.scheduleAt(scenario.readyAtNanos(i), () -> markReady(index, target));
            }
        }
        for (int i = 0; i < scenario.entryNodeCount(); i++) {
            balancers.add(policy.newLoadBalancer(node("e" + i, i, List.of()), scenario, i));
            retryBudgets.add(new RetryBudget(0));
        }
    }

    /** Runs all requests and returns the statistics by name of the class. */
    Map<String, ClassStatistics> run(List<SimulatedRequest> requests) {
        for (SimulatedRequest request : requests) {
            scheduler.scheduleAt(request.arrivalNanos(), () -> arrive(request));
        }
        scheduler.run();
        return statisticsByClass;
    }

    private void arrive(SimulatedRequest request) {
        retryBudgets.get(request.entryNode()).requestStarted(scenario.policy().retryPercent());
        if (scenario.isMeasured(request.arrivalNanos())) {
            statisticsOf(request).recordOffered();
        }
        attempt(request, new HashSet<>());
    }

    private void attempt(SimulatedRequest request, Set<TargetId> tried) {
        Optional<LoadBalancer.Choice> choice =
                balancers
                        .get(request.entryNode())
                        .choose(
                                candidates,
                                tried,
                                request.requestClass().longRunning(),
                                scheduler.nowNanos());
        if (choice.isEmpty()) {
            recordEnd(request, true);
            return;
        }
        TargetId id = choice.get().candidate().target().id();
        tried.add(id);
        int hostIndex = hostIndexes.get(id);
        long oneWayNanos = oneWayNanos(request.entryNode(), hostIndex);
        long deadlineNanos = deadlineNanos(request);
        SimulatedHost.AttemptCallback callback =
                (refusal, report) ->
                        scheduler.scheduleAfter(
                                oneWayNanos,
                                () -> {
                                    choice.get().complete(report, scheduler.nowNanos());
                                    if (refusal.isPresent() && tryTakeRetry(request, tried)) {
                                        attempt(request, tried);
                                    } else {
                                        recordEnd(request, refusal.isPresent());
                                    }
                                });
        scheduler.scheduleAfter(
                oneWayNanos,
                () -> hosts.get(hostIndex).submit(request, deadlineNanos - oneWayNanos, callback));
    }

    /** Takes a retry from the budget, if another attempt is allowed. */
    private boolean tryTakeRetry(SimulatedRequest request, Set<TargetId> tried) {
        boolean retry =
                tried.size() < MAX_ATTEMPTS
                        && scheduler.nowNanos() < deadlineNanos(request)
                        && retryBudgets.get(request.entryNode()).tryRetry(scheduler.nowNanos());
        if (retry && scenario.isMeasured(request.arrivalNanos())) {
            statisticsOf(request).recordRetry();
        }
        return retry;
    }

    private void recordEnd(SimulatedRequest request, boolean refused) {
        if (!scenario.isMeasured(request.arrivalNanos())) {
            return;
        }
        if (refused) {
            statisticsOf(request).recordRefusal();
        } else {
            statisticsOf(request)
                    .recordAnswer(
                            scheduler.nowNanos() - request.arrivalNanos(),
                            TimeUnit.MILLISECONDS.toNanos(request.requestClass().deadlineMillis()));
        }
    }

    private ClassStatistics statisticsOf(SimulatedRequest request) {
        return statisticsByClass.computeIfAbsent(
                request.requestClass().name(), name -> new ClassStatistics());
    }

    private static long deadlineNanos(SimulatedRequest request) {
        return request.arrivalNanos()
                + TimeUnit.MILLISECONDS.toNanos(request.requestClass().deadlineMillis());
    }

    private long oneWayNanos(int entryNode, int hostIndex) {
        return entryNode % ZONES == hostIndex % ZONES ? SAME_ZONE_NANOS : scenario.crossZoneNanos();
    }

    /** Service time at a target if the request starts now. */
    private long serviceNanos(SimulatedRequest request, int target) {
        double factor = target == scenario.grayTargetIndex() ? scenario.graySlowdown() : 1;
        if (target >= scenario.warmTargetCount()) {
            double warmFraction =
                    (scheduler.nowNanos() - scenario.readyAtNanos(target)) / WARM_UP_NANOS;
            factor *= 1 + (COLD_SLOWDOWN - 1) * Math.max(0, 1 - warmFraction);
        }
        return (long) (request.serviceNanos() * factor);
    }

    private void markReady(int index, TargetInfo target) {
        List<Candidate> changed = new ArrayList<>(candidates);
        changed.set(index, candidate(index, target, false));
        candidates = changed;
    }

    private static Candidate candidate(int index, TargetInfo target, boolean cold) {
        TargetInfo announced = cold ? target.withState(TargetState.STARTING) : target;
        return new Candidate(node("n" + index, index, List.of(announced)), announced);
    }

    private static NodeInfo node(String id, int index, List<TargetInfo> targets) {
        String zone = "zone" + index % ZONES;
        return new NodeInfo(
                new NodeId(id),
                "north",
                zone,
                UNUSED_ADDRESS,
                UNUSED_ADDRESS,
                UNUSED_ADDRESS,
                1,
                1,
                false,
                targets);
    }
}
