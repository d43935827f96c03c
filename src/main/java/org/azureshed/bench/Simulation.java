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

/** Entry nodes and hosts in virtual time, for one policy. */
final class Simulation {
    private static final Endpoint ADDRESS = new Endpoint("127.0.0.1", 1);
    private static final long SAME_ZONE_NANOS = TimeUnit.MICROSECONDS.toNanos(200);
    private static final int ZONES = 4;
    private static final int MAX_ATTEMPTS = 3;

    /** A cold target starts this many times slower and warms up evenly. */
    private static final double COLD_FACTOR = 5;

    private static final double WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final VirtualTime time = new VirtualTime();
    private final Scenario scenario;
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final Map<TargetId, Integer> hostIndex = new HashMap<>();
    private final List<Chooser> entries = new ArrayList<>();
    private final List<RetryBudget> budgets = new ArrayList<>();
    private final Map<String, Measures> measures = new HashMap<>();
    private List<Candidate> candidates = new ArrayList<>();

    Simulation(Scenario scenario, SimulationPolicy policy) {
        this.scenario = scenario;
        for (int i = 0; i < scenario.targets(); i++) {
            int index = i;
            boolean cold = i >= scenario.warmTargets();
            TargetInfo target =
                    new TargetInfo(
                            new TargetId("t" + i),
                            scenario.policy().name(),
                            ADDRESS,
                            scenario.slots(),
                            TargetState.READY);
            hostIndex.put(target.id(), i);
            hosts.add(policy.host(time, target, scenario, r -> serviceNanos(r, index)));
            candidates.add(candidate(i, target, cold));
            if (cold) {
                time.at(scenario.readyAtNanos(i), () -> makeReady(index, target));
            }
        }
        for (int i = 0; i < scenario.entries(); i++) {
            entries.add(policy.chooser(node("e" + i, i, List.of()), scenario, i));
            budgets.add(new RetryBudget(0));
        }
    }

    /** Runs all requests and returns the measures by class. */
    Map<String, Measures> run(List<SimulatedRequest> requests) {
        for (SimulatedRequest request : requests) {
            time.at(request.arrivalNanos(), () -> arrive(request));
        }
        time.run();
        return measures;
    }

    private void arrive(SimulatedRequest request) {
        budgets.get(request.entry()).requestStarted(scenario.policy().retryPercent());
        if (scenario.measured(request.arrivalNanos())) {
            measuresOf(request).offered();
        }
        attempt(request, new HashSet<>());
    }

    private void attempt(SimulatedRequest request, Set<TargetId> tried) {
        Optional<Chooser.Choice> choice =
                entries.get(request.entry())
                        .choose(
                                candidates,
                                tried,
                                request.requestClass().longRunning(),
                                time.now());
        if (choice.isEmpty()) {
            ended(request, true);
            return;
        }
        TargetId id = choice.get().candidate().target().id();
        tried.add(id);
        int host = hostIndex.get(id);
        long way = wayNanos(request.entry(), host);
        long deadline = deadlineNanos(request);
        SimulatedHost.Answer answer =
                (refusal, report) ->
                        time.after(
                                way,
                                () -> {
                                    choice.get().answered(report, time.now());
                                    if (refusal.isPresent() && mayRetry(request, tried)) {
                                        attempt(request, tried);
                                    } else {
                                        ended(request, refusal.isPresent());
                                    }
                                });
        time.after(way, () -> hosts.get(host).offer(request, deadline - way, answer));
    }

    private boolean mayRetry(SimulatedRequest request, Set<TargetId> tried) {
        boolean retry =
                tried.size() < MAX_ATTEMPTS
                        && time.now() < deadlineNanos(request)
                        && budgets.get(request.entry()).tryRetry(time.now());
        if (retry && scenario.measured(request.arrivalNanos())) {
            measuresOf(request).retried();
        }
        return retry;
    }

    private void ended(SimulatedRequest request, boolean refused) {
        if (!scenario.measured(request.arrivalNanos())) {
            return;
        }
        if (refused) {
            measuresOf(request).refused();
        } else {
            measuresOf(request)
                    .answered(
                            time.now() - request.arrivalNanos(),
                            TimeUnit.MILLISECONDS.toNanos(request.requestClass().deadlineMillis()));
        }
    }

    private Measures measuresOf(SimulatedRequest request) {
        return measures.computeIfAbsent(request.requestClass().name(), name -> new Measures());
    }

    private static long deadlineNanos(SimulatedRequest request) {
        return request.arrivalNanos()
                + TimeUnit.MILLISECONDS.toNanos(request.requestClass().deadlineMillis());
    }

    private long wayNanos(int entry, int host) {
        return entry % ZONES == host % ZONES ? SAME_ZONE_NANOS : scenario.otherZoneNanos();
    }

    private long serviceNanos(SimulatedRequest request, int target) {
        double factor = target == scenario.grayTarget() ? scenario.grayFactor() : 1;
        if (target >= scenario.warmTargets()) {
            double warm = (time.now() - scenario.readyAtNanos(target)) / WARM_UP_NANOS;
            factor *= 1 + (COLD_FACTOR - 1) * Math.max(0, 1 - warm);
        }
        return (long) (request.serviceNanos() * factor);
    }

    private void makeReady(int index, TargetInfo target) {
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
                new NodeId(id), "north", zone, ADDRESS, ADDRESS, ADDRESS, 1, 1, false, targets);
    }
}
