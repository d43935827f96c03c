package org.azureshed.host;

/** What decides which requests wait for a slot of the target, and in which order. */
public enum QueuePolicy {
    /**
     * Priority and deadline only: a request that has been queued stays, and all requests count as
     * the same work.
     */
    BY_DEADLINE,

    /**
     * What delaying or refusing a request costs callers: priority, deadline, the work that it needs
     * and the fair share of its organisation. For deployments whose callers compete for too little
     * room.
     */
    BY_COST
}
