package org.azureshed.idempotency;

/**
 * A reachable node that can own key ranges.
 *
 * @param instance its process
 * @param availabilityZone zone of its VM
 */
public record OwnerCandidate(NodeInstance instance, String availabilityZone) {}
