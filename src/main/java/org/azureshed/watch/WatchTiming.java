package org.azureshed.watch;

/**
 * Time limits of a node's watch, in milliseconds.
 *
 * @param fleetIntervalMillis mean time between the beginnings of two watches anywhere in the fleet.
 *     It bounds the time until some node notices that answers were lost
 * @param minPeriodMillis shortest time between the turns of one node; in a small fleet more than
 *     the interval for each node
 * @param minWaitMillis shortest wait of a watch; a node whose turn comes sooner passes it
 * @param maxWaitMillis longest wait that the store allows, and longest time between turns
 * @param pauseMillis pause after an answer with changes, so that one answer covers several changes
 *     in quick succession
 * @param startPauseMillis pause after the first answer of the store, in which the node learns how
 *     large the fleet is
 * @param answerMillis time after which the answer to a call, beyond the wait of a watch, counts as
 *     lost
 * @param patienceMillis time that the store has to tell a node of a change that another node knows
 *     already; both are usually told at the same moment
 * @param minBackoffMillis delay before the first call after a failure
 * @param backoffPerNodeMillis longest mean delay between calls that fail, for each of the nodes
 *     that share the task, as all nodes fail together while the store is away
 * @param maxBackoffMillis upper bound of that delay
 */
public record WatchTiming(
        long fleetIntervalMillis,
        long minPeriodMillis,
        long minWaitMillis,
        long maxWaitMillis,
        long pauseMillis,
        long startPauseMillis,
        long answerMillis,
        long patienceMillis,
        long minBackoffMillis,
        long backoffPerNodeMillis,
        long maxBackoffMillis) {
    /**
     * A confirmed configuration must be in force within 2 s. Until a lost answer is made up for, an
     * interval passes, the time limit of an answer and the patience of the nodes that are told; the
     * rest is to spare for nodes that have gone but are still counted. A slow store answers within
     * 260 ms.
     */
    public static final WatchTiming STANDARD =
            new WatchTiming(500, 1_000, 100, 30_000, 300, 400, 400, 150, 100, 300, 1_000);
}
