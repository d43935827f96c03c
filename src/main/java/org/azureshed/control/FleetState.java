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
 * @param roundsBeforeRole gossip rounds until this node decides whether it is a relay
 * @param keys what is known of key ranges
 * @param placementDueMillis when key ranges are placed on the reachable nodes again
 */
public record FleetState(
        MembershipState membership,
        DistributionState distribution,
        int roundsBeforeRole,
        OwnerState keys,
        long placementDueMillis) {
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
                MAX_ROUNDS_BEFORE_ROLE,
                OwnerState.initial(new NodeInstance(self.id(), self.incarnation())),
                Long.MIN_VALUE);
    }

    FleetState withMembership(MembershipState newMembership) {
        return new FleetState(
                newMembership, distribution, roundsBeforeRole, keys, placementDueMillis);
    }

    FleetState withDistribution(DistributionState newDistribution) {
        return new FleetState(
                membership, newDistribution, roundsBeforeRole, keys, placementDueMillis);
    }

    FleetState withRole() {
        return new FleetState(membership, distribution, 0, keys, placementDueMillis);
    }

    FleetState withRound(boolean othersKnown) {
        int most = othersKnown ? MAX_ROUNDS_WITH_OTHERS : MAX_ROUNDS_BEFORE_ROLE;
        int left = Math.max(0, Math.min(most, roundsBeforeRole) - 1);
        return new FleetState(membership, distribution, left, keys, placementDueMillis);
    }

    FleetState withKeys(OwnerState newKeys) {
        return new FleetState(
                membership, distribution, roundsBeforeRole, newKeys, placementDueMillis);
    }

    FleetState withPlacementDue(long newDueMillis) {
        return new FleetState(membership, distribution, roundsBeforeRole, keys, newDueMillis);
    }
}
