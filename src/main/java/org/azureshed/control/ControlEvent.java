package org.azureshed.control;

import java.util.List;
import org.azureshed.distribution.DistributionEvent;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.idempotency.OwnerEvent;
import org.azureshed.membership.MembershipEvent;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.poison.PoisonEvent;

/** Input of {@link ControlReducer}. */
public sealed interface ControlEvent {
    /**
     * Time passed.
     *
     * @param nowMillis the node's monotonic clock in milliseconds
     */
    record Tick(long nowMillis) implements ControlEvent {}

    /**
     * A target on this VM announced itself or repeated its announcement.
     *
     * @param target the announced attributes of the target
     */
    record TargetAnnounced(TargetInfo target) implements ControlEvent {}

    /**
     * A target on this VM withdrew its announcement.
     *
     * @param target the target
     */
    record TargetWithdrawn(TargetId target) implements ControlEvent {}

    /**
     * All node records were read from the platform.
     *
     * @param nodes the records
     */
    record NodesListed(List<NodeInfo> nodes) implements ControlEvent {
        /** Copies the list. */
        public NodesListed {
            nodes = List.copyOf(nodes);
        }
    }

    /**
     * The watch of the platform reported a new version of a node's record.
     *
     * @param node the record
     */
    record NodeSeen(NodeInfo node) implements ControlEvent {}

    /**
     * The record of a node was deleted from the platform.
     *
     * @param node the node
     */
    record NodeDeleted(NodeId node) implements ControlEvent {}

    /**
     * A preset in force was read from the platform or from a peer.
     *
     * @param active the preset; ignored if its activation number is not higher than the current one
     */
    record PresetReceived(ActivePreset active) implements ControlEvent {}

    /**
     * Input of the membership reducer.
     *
     * @param event passed to that reducer
     */
    record Membership(MembershipEvent event) implements ControlEvent {}

    /**
     * Input of the distribution reducer.
     *
     * @param event passed to that reducer
     */
    record Distribution(DistributionEvent event) implements ControlEvent {}

    /**
     * Input of the reducer of idempotency key ranges.
     *
     * @param event passed to that reducer
     */
    record Keys(OwnerEvent event) implements ControlEvent {}

    /**
     * Input of the ejection reducer.
     *
     * @param event passed to that reducer
     */
    record Ejection(EjectionEvent event) implements ControlEvent {}

    /**
     * Input of the poison reducer, which detects requests that crash targets.
     *
     * @param event passed to that reducer
     */
    record Poison(PoisonEvent event) implements ControlEvent {}

    /** The process was asked to stop. */
    record StopRequested() implements ControlEvent {}
}
