package org.azureshed.idempotency;

import org.azureshed.model.NodeId;

/**
 * One process of a node. A restarted node is another instance: leases that the earlier process held
 * and consents that it gave do not apply to it.
 *
 * @param node id of the node
 * @param incarnation start time of its process in milliseconds since the epoch
 */
public record NodeInstance(NodeId node, long incarnation) {}
