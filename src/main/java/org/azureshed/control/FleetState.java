package org.azureshed.control;

import org.azureshed.distribution.DistributionState;
import org.azureshed.membership.MembershipState;
import org.azureshed.model.NodeInfo;

/**
 * States of the reducers that talk to other nodes.
 *
 * @param membership what is known of nodes
 * @param distribution what is known of the preset in force
 * @param roundsBeforeRole gossip rounds until this node decides whether it is a relay
 */
public record FleetState(
        MembershipState membership, DistributionState distribution, int roundsBeforeRole) {
    /**
     * A node that knows only itself would take itself for a relay. When all nodes start at once,
     * each of them would read the whole preset from the platform; so the role waits for the first
     * listing of nodes, at most for this many rounds of a second.
     */
    private static final int MAX_ROUNDS_BEFORE_ROLE = 15;

    /** Gossip brings most of a fleet within this many rounds after the first other node. */
    private static final int MAX_ROUNDS_WITH_OTHERS = 2;

    static FleetState initial(NodeInfo self) {
        long seed = self.id().hashCode() * 31L + self.incarnation();
        return new FleetState(
                MembershipState.initial(self, seed),
                DistributionState.initial(self.id(), ~seed),
                MAX_ROUNDS_BEFORE_ROLE);
    }

    FleetState withMembership(MembershipState newMembership) {
        return new FleetState(newMembership, distribution, roundsBeforeRole);
    }

    FleetState withDistribution(DistributionState newDistribution) {
        return new FleetState(membership, newDistribution, roundsBeforeRole);
    }

    FleetState withRole() {
        return new FleetState(membership, distribution, 0);
    }

    FleetState withRound(boolean othersKnown) {
        int most = othersKnown ? MAX_ROUNDS_WITH_OTHERS : MAX_ROUNDS_BEFORE_ROLE;
        int left = Math.max(0, Math.min(most, roundsBeforeRole) - 1);
        return new FleetState(membership, distribution, left);
    }
}
