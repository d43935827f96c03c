package org.azureshed.idempotency;

import org.azureshed.model.NodeId;

/**
 * One process of a node. A restarted node is another instance and is bound by nothing that its
 * predecessor held or promised.
 *
 * @param node the node
 * @param incarnation start time of its process in milliseconds since the epoch
 */
public record NodeInstance(NodeId node, long incarnation) {}
