package org.azureshed.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.routing.Candidate;
import org.azureshed.routing.RouteTable;

/**
 * Immutable view of the control state that traffic threads read.
 *
 * @param self this node's own record
 * @param active the preset in force, or empty before the first one is known
 * @param routes routes of the preset in force
 * @param candidates targets by service
 * @param nodes records of the other nodes
 * @param weights weights in percent of ejected targets and of those in readmission
 */
public record Snapshot(
        NodeInfo self,
        Optional<ActivePreset> active,
        RouteTable routes,
        Map<String, List<Candidate>> candidates,
        io.vavr.collection.Map<NodeId, NodeInfo> nodes,
        Map<TargetId, Integer> weights) {
    private static final int FULL_WEIGHT_PERCENT = 100;

    /**
     * The number of known nodes.
     *
     * @return the number, including this node
     */
    public int nodeCount() {
        return nodes.size() + 1;
    }

    /**
     * Finds a node.
     *
     * @param id any node, this one included
     * @return its record, or empty if it is not known
     */
    public Optional<NodeInfo> node(NodeId id) {
        return id.equals(self.id()) ? Optional.of(self) : nodes.get(id).toJavaOptional();
    }

    /**
     * The control address of a node.
     *
     * @param id any node, this one included
     * @return its address, or empty if the node is not known
     */
    public Optional<Endpoint> controlAddress(NodeId id) {
        return node(id).map(NodeInfo::control);
    }

    /**
     * The percentage of its usual requests that a target receives.
     *
     * @param target the target
     * @return 0 (ejected) to 100 (normal)
     */
    public int weightPercent(TargetId target) {
        return weights.getOrDefault(target, FULL_WEIGHT_PERCENT);
    }

    /**
     * The targets of a service, in any state.
     *
     * @param service the service
     * @return its targets; empty if none is known
     */
    public List<Candidate> candidatesOf(String service) {
        return candidates.getOrDefault(service, List.of());
    }

    /**
     * Finds a target of this node.
     *
     * @param id the target
     * @return the target, or empty if this node does not host it
     */
    public Optional<TargetInfo> hosted(TargetId id) {
        return self.targets().stream().filter(target -> target.id().equals(id)).findFirst();
    }
}
