package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.azureshed.control.Snapshot;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.ServicePolicy;
import org.azureshed.model.TargetId;
import org.azureshed.routing.Candidate;
import org.azureshed.routing.PathHealth;
import org.azureshed.routing.Pick;
import org.azureshed.routing.PickRequest;
import org.azureshed.routing.RetryBudget;
import org.azureshed.routing.TargetPicker;
import org.azureshed.telemetry.EventLog;

/** Chooses targets for requests, with a picker and a retry budget for each service. */
@Singleton
final class TargetChooser {
    private final NodeInfo self;
    private final PathHealth paths;
    private final Map<String, ServiceState> services = new ConcurrentHashMap<>();

    @Inject
    TargetChooser(NodeInfo self, PathHealth paths) {
        this.self = self;
        this.paths = paths;
    }

    private record ServiceState(TargetPicker picker, RetryBudget budget) {}

    private ServiceState state(Call call) {
        return services.computeIfAbsent(
                call.route().service(),
                service ->
                        new ServiceState(
                                new TargetPicker(self), new RetryBudget(System.nanoTime())));
    }

    private static ServicePolicy policy(Call call) {
        return call.snapshot()
                .active()
                .orElseThrow()
                .preset()
                .services()
                .get(call.route().service());
    }

    /** Counts a request towards the retry budget of its service. */
    void requestStarted(Call call) {
        state(call).budget().requestStarted(policy(call).retryPercent());
    }

    /** Takes a retry from the retry budget of the request's service; false if it is exhausted. */
    boolean tryRetry(Call call) {
        return state(call).budget().tryRetry(System.nanoTime());
    }

    /**
     * Chooses a target.
     *
     * @param call the request
     * @param tried targets of earlier attempts
     * @return the choice, which must be finished when the attempt ends; empty if no target is left
     */
    Optional<Pick> choose(Call call, Set<TargetId> tried) {
        Snapshot snapshot = call.snapshot();
        List<Candidate> candidates = snapshot.candidatesOf(call.route().service());
        long now = System.nanoTime();
        Set<NodeId> avoided =
                paths.avoided(
                        candidates, snapshot::weightPercent, policy(call).floorPercent(), now);
        PickRequest request =
                new PickRequest(
                        candidates,
                        snapshot.nodeCount(),
                        tried,
                        avoided,
                        call.requestClass().longRunning(),
                        snapshot::weightPercent);
        return state(call).picker().pick(request, ThreadLocalRandom.current().nextLong(), now);
    }

    /**
     * Records the head of an answer.
     *
     * @param pick the choice
     * @param load load header of the answer
     * @param sentNanos when the request was sent, on the {@link System#nanoTime} clock
     */
    void answered(Pick pick, LoadHeader load, long sentNanos) {
        long now = System.nanoTime();
        pick.report(load.report(), now);
        NodeId node = pick.candidate().node().id();
        long random = ThreadLocalRandom.current().nextLong();
        if (paths.answered(node, now - sentNanos, load.spentNanos(), random, now)) {
            logBadPath(node, "slow answers");
        }
    }

    /** Records that a node could not be reached or did not answer in time. */
    void failed(NodeId node) {
        if (paths.failed(node, ThreadLocalRandom.current().nextLong(), System.nanoTime())) {
            logBadPath(node, "failed requests");
        }
    }

    private static void logBadPath(NodeId node, String cause) {
        EventLog.warning("path_bad").with("node", node).with("cause", cause).write();
    }
}
