package org.azureshed.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.routing.Candidate;
import org.azureshed.routing.RouteTable;

/**
 * Immutable view of the control state that traffic threads read.
 *
 * @param self this node's own record
 * @param active the preset in force, or empty before the first one is known
 * @param routes routes of the preset in force
 * @param candidates targets by service
 */
public record Snapshot(
        NodeInfo self,
        Optional<ActivePreset> active,
        RouteTable routes,
        Map<String, List<Candidate>> candidates) {
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
    public Optional<org.azureshed.model.TargetInfo> hosted(TargetId id) {
        return self.targets().stream().filter(target -> target.id().equals(id)).findFirst();
    }
}
