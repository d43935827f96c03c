package org.azureshed.ejection;

import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/**
 * The properties of an announced target that ejection depends on.
 *
 * @param id id of the target
 * @param node the node that hosts it
 * @param slots number of announced slots
 * @param ready whether it is ready and neither it nor its node is draining
 */
public record TargetView(TargetId id, NodeId node, int slots, boolean ready) {}
