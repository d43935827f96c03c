package org.azureshed.ejection;

import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/**
 * What ejection needs to know of an announced target.
 *
 * @param id the target
 * @param node the node that hosts it
 * @param slots its slots
 * @param ready whether it is ready and neither it nor its node is draining
 */
public record TargetView(TargetId id, NodeId node, int slots, boolean ready) {}
