package org.azureshed.directory;

/** Condition of a target. Ordered from most to least suitable for new requests. */
public enum Condition {
    /** Serves at its usual speed. */
    SERVING,
    /** Serves, but has just started and is slower than usual for some seconds. */
    WARMING,
    /** Serves, but takes a multiple of its usual run time. */
    SLOW,
    /** Fails many requests; used only for trials or when no better target is left. */
    SUSPECT,
    /** Draining: finishes its requests and accepts no new ones. */
    LEAVING,
    /** Ended or crashed, or its heartbeats have stopped. */
    GONE;

    /**
     * Whether new requests may be offered to the target.
     *
     * @return false if the target is leaving or gone
     */
    public boolean usable() {
        return compareTo(LEAVING) < 0;
    }
}
