package org.azureshed.routing;

import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;

/**
 * A target that a request can be routed to, and the node that hosts it.
 *
 * @param node the host side that forwards requests to the target
 * @param target the announcement of the target
 */
public record Candidate(NodeInfo node, TargetInfo target) {
    /**
     * Whether the target accepts new requests according to its announcement.
     *
     * @return true if it is ready and neither it nor its node is draining
     */
    public boolean ready() {
        return target.state() == TargetState.READY && !node.draining();
    }
}
