package org.azureshed.watch;

/** What happened to the watch of a node. Calls are named by the numbers of their effects. */
public sealed interface WatchEvent {
    /** The process starts. */
    record Started() implements WatchEvent {}

    /**
     * The store answered a listing.
     *
     * @param call number of the call
     * @param revision revision of the store that the listing shows
     * @param version version of the active configuration, after the listing was applied
     */
    record Listed(long call, long revision, long version) implements WatchEvent {}

    /**
     * The store answered a watch.
     *
     * @param call number of the call
     * @param revision revision to continue from
     * @param changed whether the answer has changes; false if the wait is over without one
     * @param version version of the active configuration, after the changes were applied
     */
    record Watched(long call, long revision, boolean changed, long version) implements WatchEvent {}

    /**
     * The store no longer has the changes that a watch asked for.
     *
     * @param call number of the call
     */
    record HistoryGone(long call) implements WatchEvent {}

    /**
     * A call was refused or got no usable answer.
     *
     * @param call number of the call
     */
    record Failed(long call) implements WatchEvent {}

    /**
     * Another node knows of a configuration.
     *
     * @param version its version; it may be no newer than the one of this node
     */
    record KnownElsewhere(long version) implements WatchEvent {}

    /**
     * Another node has sent this one a newer configuration, which is active now.
     *
     * @param version its version
     */
    record LearnedElsewhere(long version) implements WatchEvent {}

    /**
     * The store began a new era: what it told before, also revisions, means nothing any more.
     *
     * @param spreadFraction random number from 0 to 1, which spreads the calls of the nodes
     */
    record EraChanged(double spreadFraction) implements WatchEvent {}

    /** The time of the last {@link WatchEffect.SetTimer} was reached. */
    record TimerFired() implements WatchEvent {}
}
