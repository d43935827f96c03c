package org.azureshed.control;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.routing.RouteTable;

/**
 * State owned by the control thread.
 *
 * @param self this node's own record
 * @param nodes records of the other nodes
 * @param candidates targets of all nodes by service
 * @param active the preset in force, or empty before the first one is known
 * @param routes route table of the preset in force
 * @param nowMillis time of the last tick
 * @param fleet states of gossip, preset distribution and key ranges
 * @param health states of ejection and of poison detection
 * @param announcements times of the last announcement of each target on this VM
 */
public record ControlState(
        NodeInfo self,
        Map<NodeId, NodeInfo> nodes,
        CandidateIndex candidates,
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
     * @return a state that knows no other node and no preset
     */
    public static ControlState initial(NodeInfo self) {
        return new ControlState(
                self,
                HashMap.empty(),
                CandidateIndex.empty().replace(List.of(), List.of(self)),
                Optional.empty(),
                RouteTable.of(List.of()),
                0,
                FleetState.initial(self),
                TargetHealth.initial(self.id()),
                Announcements.empty());
    }

    ControlState withSelf(NodeInfo newSelf) {
        return new ControlState(
                newSelf,
                nodes,
                candidates.replace(List.of(self), List.of(newSelf)),
                active,
                routes,
                nowMillis,
                fleet,
                health,
                announcements);
    }

    /**
     * Returns a copy in which the records of some other nodes are replaced or removed.
     *
     * @param updated new records; their versions are not compared
     * @param removed nodes whose records are removed
     * @return the copy, or this state if nothing changes
     */
    ControlState withNodes(Collection<NodeInfo> updated, Collection<NodeId> removed) {
        Map<NodeId, NodeInfo> newNodes = nodes;
        List<NodeInfo> before = new ArrayList<>();
        List<NodeInfo> after = new ArrayList<>();
        for (NodeInfo node : updated) {
            if (!nodes.get(node.id()).contains(node)) {
                nodes.get(node.id()).peek(before::add);
                after.add(node);
                newNodes = newNodes.put(node.id(), node);
            }
        }
        for (NodeId id : removed) {
            nodes.get(id).peek(before::add);
            newNodes = newNodes.remove(id);
        }
        if (before.isEmpty() && after.isEmpty()) {
            return this;
        }
        return new ControlState(
                self,
                newNodes,
                candidates.replace(before, after),
                active,
                routes,
                nowMillis,
                fleet,
                health,
                announcements);
    }

    ControlState withActive(ActivePreset newActive) {
        return new ControlState(
                self,
                nodes,
                candidates,
                Optional.of(newActive),
                RouteTable.of(newActive.preset().routes()),
                nowMillis,
                fleet,
                health,
                announcements);
    }

    ControlState withNow(long newNowMillis) {
        return new ControlState(
                self,
                nodes,
                candidates,
                active,
                routes,
                newNowMillis,
                fleet,
                health,
                announcements);
    }

    ControlState withFleet(FleetState newFleet) {
        return new ControlState(
                self,
                nodes,
                candidates,
                active,
                routes,
                nowMillis,
                newFleet,
                health,
                announcements);
    }

    ControlState withHealth(TargetHealth newHealth) {
        return new ControlState(
                self,
                nodes,
                candidates,
                active,
                routes,
                nowMillis,
                fleet,
                newHealth,
                announcements);
    }

    ControlState withAnnouncements(Announcements newAnnouncements) {
        return new ControlState(
                self,
                nodes,
                candidates,
                active,
                routes,
                nowMillis,
                fleet,
                health,
                newAnnouncements);
    }

    Snapshot snapshot() {
        return new Snapshot(
                self,
                active,
                routes,
                candidates.byService(),
                nodes,
                health.weights(candidates.byService(), active));
    }
}
