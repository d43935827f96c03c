package org.azureshed.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;
import org.azureshed.routing.Candidate;
import org.azureshed.routing.Pick;
import org.azureshed.routing.PickRequest;
import org.azureshed.routing.TargetPicker;

/** Chooses targets as a real fleet does, with one {@link TargetPicker} for each node. */
final class SimulatedRouting {
    /** Number of nodes. Each of them is an entry node and hosts a share of the targets. */
    static final int NODES = 3;

    /** Nothing connects to it. */
    private static final Endpoint UNUSED_ADDRESS = new Endpoint("127.0.0.1", 1);

    private final List<NodeInfo> nodes = new ArrayList<>();
    private final List<TargetPicker> pickers = new ArrayList<>();
    private final Map<TargetId, Integer> indexes = new HashMap<>();
    private List<Candidate> candidates = List.of();

    SimulatedRouting(List<EjectionSimulation.SimulatedTarget> targets) {
        for (int node = 0; node < NODES; node++) {
            NodeInfo info =
                    new NodeInfo(
                            nodeId(node),
                            "region",
                            "zone-" + node,
                            UNUSED_ADDRESS,
                            UNUSED_ADDRESS,
                            UNUSED_ADDRESS,
                            1,
                            1,
                            false,
                            List.of());
            nodes.add(info);
            pickers.add(new TargetPicker(info));
        }
        for (int i = 0; i < targets.size(); i++) {
            indexes.put(targets.get(i).id, i);
        }
        updateTargets(targets);
    }

    static NodeId nodeId(int node) {
        return new NodeId("node-" + node);
    }

    /**
     * Updates the states of the targets. Without a change the candidates remain the same list
     * object, so the pickers do not recompute their subsets.
     */
    void updateTargets(List<EjectionSimulation.SimulatedTarget> targets) {
        List<Candidate> next = new ArrayList<>();
        for (int i = 0; i < targets.size(); i++) {
            EjectionSimulation.SimulatedTarget target = targets.get(i);
            TargetState state = target.starting ? TargetState.STARTING : TargetState.READY;
            next.add(
                    new Candidate(
                            nodes.get(i % NODES),
                            new TargetInfo(
                                    target.id,
                                    EjectionSimulation.SERVICE,
                                    UNUSED_ADDRESS,
                                    target.slots,
                                    state)));
        }
        if (!next.equals(candidates)) {
            candidates = next;
        }
    }

    /** Chooses a target for a request at an entry node; empty if no target can be used. */
    Optional<Pick> pick(
            int entryNode,
            boolean longRunning,
            ToIntFunction<TargetId> weightPercent,
            long randomSeed,
            long nowMicros) {
        PickRequest request =
                new PickRequest(candidates, NODES, Set.of(), Set.of(), longRunning, weightPercent);
        return pickers.get(entryNode)
                .pick(request, randomSeed, TimeUnit.MICROSECONDS.toNanos(nowMicros));
    }

    /** Index of the chosen target in the list of targets. */
    int indexOf(Pick pick) {
        return indexes.get(pick.candidate().target().id());
    }

    /** Ends a request and passes the load report of its answer to the entry node that sent it. */
    static void complete(Pick pick, LoadReport report, long nowMicros) {
        pick.report(report, TimeUnit.MICROSECONDS.toNanos(nowMicros));
        pick.finish();
    }
}
