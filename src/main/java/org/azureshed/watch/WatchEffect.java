package org.azureshed.watch;

/** What the node has to do for its watch. */
public sealed interface WatchEffect {
    /**
     * List the configuration. An earlier call may still be under way; its answer counts as well.
     *
     * @param call number of the call
     */
    record ListNow(long call) implements WatchEffect {}

    /**
     * Watch for changes.
     *
     * @param call number of the call
     * @param revision revision after which changes count
     * @param waitMillis longest wait of the store for a change, in milliseconds
     */
    record WatchNow(long call, long revision, long waitMillis) implements WatchEffect {}

    /** Use no connection to the store that is idle now: it may be as silent as the last one. */
    record DropIdleConnections() implements WatchEffect {}

    /**
     * Tell some other nodes that there is a newer configuration. Each node does so once, so that
     * the word reaches all of them.
     *
     * @param version its version
     */
    record TellNodes(long version) implements WatchEffect {}

    /**
     * Pass {@link WatchEvent.TimerFired} at a time; replaces the timer that was set before.
     *
     * @param nanos the time, on the clock of the events
     */
    record SetTimer(long nanos) implements WatchEffect {}
}
