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

/** The fleet's own choice of targets: one {@link TargetPicker} for each of the simulated nodes. */
final class SimulatedRouting {
    /** Nodes of the simulated fleet; each is an entry node and hosts a share of the targets. */
    static final int NODES = 3;

    private static final Endpoint UNUSED = new Endpoint("127.0.0.1", 1);

    private final List<NodeInfo> nodes = new ArrayList<>();
    private final List<TargetPicker> pickers = new ArrayList<>();
    private final Map<TargetId, Integer> indexes = new HashMap<>();
    private List<Candidate> candidates = List.of();

    SimulatedRouting(List<FleetSimulation.Target> targets) {
        for (int node = 0; node < NODES; node++) {
            NodeInfo info =
                    new NodeInfo(
                            nodeId(node),
                            "region",
                            "zone-" + node,
                            UNUSED,
                            UNUSED,
                            UNUSED,
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
        announce(targets);
    }

    static NodeId nodeId(int node) {
        return new NodeId("node-" + node);
    }

    /** Takes in the states of the targets. The pickers keep their subset if none has changed. */
    void announce(List<FleetSimulation.Target> targets) {
        List<Candidate> next = new ArrayList<>();
        for (int i = 0; i < targets.size(); i++) {
            FleetSimulation.Target target = targets.get(i);
            TargetState state = target.starting ? TargetState.STARTING : TargetState.READY;
            next.add(
                    new Candidate(
                            nodes.get(i % NODES),
                            new TargetInfo(
                                    target.id,
                                    FleetSimulation.SERVICE,
                                    UNUSED,
                                    target.slots,
                                    state)));
        }
        if (!next.equals(candidates)) {
            candidates = next;
        }
    }

    /** Chooses for one request that arrived at a node; empty if no target can be used. */
    Optional<Pick> pick(
            int node, boolean longRunning, ToIntFunction<TargetId> percent, long random, long now) {
        PickRequest request =
                new PickRequest(candidates, NODES, Set.of(), Set.of(), longRunning, percent);
        return pickers.get(node).pick(request, random, TimeUnit.MICROSECONDS.toNanos(now));
    }

    int indexOf(Pick pick) {
        return indexes.get(pick.candidate().target().id());
    }

    /** Passes the load report of an answer to the node that sent the request. */
    static void answered(Pick pick, LoadReport report, long nowMicros) {
        pick.report(report, TimeUnit.MICROSECONDS.toNanos(nowMicros));
        pick.finish();
    }
}
