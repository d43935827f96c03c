package org.azureshed.directory;

/** What a node says about the target beside it. Ordered from most to least useful. */
public enum Condition {
    /** Serves normally. */
    SERVING,
    /** Serves, but has just started and is slower than usual for some seconds. */
    WARMING,
    /** Serves, but takes a multiple of its usual time. */
    SLOW,
    /** Fails many requests; used only for trials or when nothing better is left. */
    SUSPECT,
    /** Finishes its requests and accepts no new ones. */
    LEAVING,
    /** Ended, crashed or silent. */
    GONE;

    /**
     * Whether new requests may be offered to the target.
     *
     * @return false for targets that leave or are gone
     */
    public boolean usable() {
        return compareTo(LEAVING) < 0;
    }
}
