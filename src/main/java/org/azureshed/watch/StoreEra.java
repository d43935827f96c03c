package org.azureshed.watch;

/**
 * The era of the store, as its answers tell. After a restore from an older copy the store begins a
 * new era: what it acknowledged after the copy is gone, and it gives out the same revisions again.
 * Not thread-safe.
 */
public final class StoreEra {
    private long current;
    private boolean known;

    /** How an answer relates to the current era. */
    public enum Relation {
        /** It belongs to the current era. */
        CURRENT,
        /** It is the first one of a newer era, which is the current one from now on. */
        NEWER,
        /** It is a late one of an earlier era; its revisions mean nothing any more. */
        EARLIER
    }

    /**
     * Compares an answer's era with the current one.
     *
     * @param era era that the answer names
     * @return the relation; the first era is current, as nothing is known from before it
     */
    public Relation observe(long era) {
        if (known && era < current) {
            return Relation.EARLIER;
        }
        boolean newer = known && era > current;
        known = true;
        current = era;
        return newer ? Relation.NEWER : Relation.CURRENT;
    }

    /**
     * The current era.
     *
     * @return the highest era that an answer has named; 0 before the first one
     */
    public long current() {
        return current;
    }
}
