package org.azureshed.watch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Place of a node among all nodes that it knows, in an order that is the same for all of them.
 *
 * @param rank number of known nodes before this one
 * @param nodes number of known nodes, including this one
 */
public record FleetPosition(int rank, int nodes) {
    /** Checks the arguments. */
    public FleetPosition {
        checkArgument(rank >= 0 && rank < nodes, "rank %s of %s nodes", rank, nodes);
    }
}
