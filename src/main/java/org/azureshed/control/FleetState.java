package org.azureshed.control;

import org.azureshed.distribution.DistributionState;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.idempotency.OwnerState;
import org.azureshed.membership.MembershipState;
import org.azureshed.model.NodeInfo;

/**
 * States of the reducers that talk to other nodes.
 *
 * @param membership what is known of nodes
 * @param distribution what is known of the preset in force
 * @param keys what is known of key ranges
 * @param placementDueMillis when key ranges are placed on the reachable nodes again
 */
public record FleetState(
        MembershipState membership,
        DistributionState distribution,
        OwnerState keys,
        long placementDueMillis) {
    static FleetState initial(NodeInfo self) {
        long seed = self.id().hashCode() * 31L + self.incarnation();
        return new FleetState(
                MembershipState.initial(self, seed),
                DistributionState.initial(self.id(), ~seed),
                OwnerState.initial(new NodeInstance(self.id(), self.incarnation())),
                Long.MIN_VALUE);
    }

    FleetState withMembership(MembershipState newMembership) {
        return new FleetState(newMembership, distribution, keys, placementDueMillis);
    }

    FleetState withDistribution(DistributionState newDistribution) {
        return new FleetState(membership, newDistribution, keys, placementDueMillis);
    }

    FleetState withKeys(OwnerState newKeys) {
        return new FleetState(membership, distribution, newKeys, placementDueMillis);
    }

    FleetState withPlacementDue(long newDueMillis) {
        return new FleetState(membership, distribution, keys, newDueMillis);
    }
}
