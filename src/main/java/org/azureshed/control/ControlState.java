package org.azureshed.control;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetInfo;
import org.azureshed.routing.Candidate;
import org.azureshed.routing.RouteTable;

/**
 * State owned by the control thread.
 *
 * @param self this node's own record
 * @param nodes records of the other nodes
 * @param active the preset in force, or empty before the first one is known
 * @param routes route table of the preset in force
 * @param nowMillis time of the last tick
 * @param fleet what gossip and distribution know
 * @param health what ejection and poison know
 * @param announcements when the targets of this VM announced themselves last
 */
public record ControlState(
        NodeInfo self,
        Map<NodeId, NodeInfo> nodes,
        Optional<ActivePreset> active,
        RouteTable routes,
        long nowMillis,
        FleetState fleet,
        TargetHealth health,
        Announcements announcements) {
    /**
     * State of a node that has just started.
     *
     * @param self its own record
     * @return the state
     */
    public static ControlState initial(NodeInfo self) {
        return new ControlState(
                self,
                HashMap.empty(),
                Optional.empty(),
                RouteTable.of(List.of()),
                0,
                FleetState.initial(self),
                TargetHealth.initial(self.id()),
                Announcements.empty());
    }

    ControlState withSelf(NodeInfo newSelf) {
        return new ControlState(
                newSelf, nodes, active, routes, nowMillis, fleet, health, announcements);
    }

    ControlState withNodes(Map<NodeId, NodeInfo> newNodes) {
        return new ControlState(
                self, newNodes, active, routes, nowMillis, fleet, health, announcements);
    }

    ControlState withActive(ActivePreset newActive) {
        return new ControlState(
                self,
                nodes,
                Optional.of(newActive),
                RouteTable.of(newActive.preset().routes()),
                nowMillis,
                fleet,
                health,
                announcements);
    }

    ControlState withNow(long newNowMillis) {
        return new ControlState(
                self, nodes, active, routes, newNowMillis, fleet, health, announcements);
    }

    ControlState withFleet(FleetState newFleet) {
        return new ControlState(
                self, nodes, active, routes, nowMillis, newFleet, health, announcements);
    }

    ControlState withHealth(TargetHealth newHealth) {
        return new ControlState(
                self, nodes, active, routes, nowMillis, fleet, newHealth, announcements);
    }

    ControlState withAnnouncements(Announcements newAnnouncements) {
        return new ControlState(
                self, nodes, active, routes, nowMillis, fleet, health, newAnnouncements);
    }

    Snapshot snapshot() {
        java.util.Map<String, List<Candidate>> candidates = new java.util.HashMap<>();
        addCandidates(self, candidates);
        for (NodeInfo node : nodes.values()) {
            addCandidates(node, candidates);
        }
        java.util.Map<NodeId, Endpoint> addresses = new java.util.HashMap<>();
        addresses.put(self.id(), self.control());
        nodes.forEach((id, node) -> addresses.put(id, node.control()));
        candidates.replaceAll((service, list) -> List.copyOf(list));
        return new Snapshot(
                self,
                active,
                routes,
                java.util.Map.copyOf(candidates),
                nodes.size() + 1,
                java.util.Map.copyOf(addresses),
                health.weights(candidates, active));
    }

    private static void addCandidates(
            NodeInfo node, java.util.Map<String, List<Candidate>> candidates) {
        for (TargetInfo target : node.targets()) {
            candidates
                    .computeIfAbsent(target.service(), service -> new ArrayList<>())
                    .add(new Candidate(node, target));
        }
    }
}
