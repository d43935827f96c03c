package org.azureshed.idempotency;

/**
 * A reachable node that can own key ranges.
 *
 * @param instance current process of the node
 * @param availabilityZone zone of its VM
 */
public record OwnerCandidate(NodeInstance instance, String availabilityZone) {}
