package org.azureshed.control;

import org.azureshed.distribution.DistributionState;
import org.azureshed.membership.MembershipState;
import org.azureshed.model.NodeInfo;

/**
 * States of the reducers that talk to other nodes.
 *
 * @param membership what is known of nodes
 * @param distribution what is known of the preset in force
 */
public record FleetState(MembershipState membership, DistributionState distribution) {
    static FleetState initial(NodeInfo self) {
        long seed = self.id().hashCode() * 31L + self.incarnation();
        return new FleetState(
                MembershipState.initial(self, seed), DistributionState.initial(self.id(), ~seed));
    }

    FleetState withMembership(MembershipState newMembership) {
        return new FleetState(newMembership, distribution);
    }

    FleetState withDistribution(DistributionState newDistribution) {
        return new FleetState(membership, newDistribution);
    }
}
