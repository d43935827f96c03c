package org.azureshed.control;

import org.azureshed.distribution.DistributionState;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.idempotency.OwnerState;
import org.azureshed.membership.MembershipState;
import org.azureshed.model.NodeInfo;

/**
 * States of the reducers that communicate with other nodes.
 *
 * @param membership state of the membership reducer
 * @param distribution state of the distribution reducer
 * @param roundsBeforeRole gossip rounds left until this node decides whether it is a relay
 * @param keys state of the reducer of idempotency key ranges
 * @param placementDueMillis time of the next placement of key ranges on the reachable nodes
 */
public record FleetState(
        MembershipState membership,
        DistributionState distribution,
        int roundsBeforeRole,
        OwnerState keys,
        long placementDueMillis) {
    /**
     * Longest wait, in gossip rounds of a second, for the first listing of nodes. A node that knows
     * only itself would become a relay, and if all nodes start at once, each of them would read the
     * whole preset from the platform.
     */
    private static final int MAX_ROUNDS_BEFORE_ROLE = 15;

    /** Gossip discovers most of a fleet within this many rounds after the first other node. */
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

    FleetState withRoleDecided() {
        return new FleetState(membership, distribution, 0, keys, placementDueMillis);
    }

    FleetState afterRound(boolean othersKnown) {
        int limit = othersKnown ? MAX_ROUNDS_WITH_OTHERS : MAX_ROUNDS_BEFORE_ROLE;
        int remaining = Math.max(0, Math.min(limit, roundsBeforeRole) - 1);
        return new FleetState(membership, distribution, remaining, keys, placementDueMillis);
    }

    FleetState withKeys(OwnerState newKeys) {
        return new FleetState(
                membership, distribution, roundsBeforeRole, newKeys, placementDueMillis);
    }

    FleetState withPlacementDue(long newDueMillis) {
        return new FleetState(membership, distribution, roundsBeforeRole, keys, newDueMillis);
    }
}
