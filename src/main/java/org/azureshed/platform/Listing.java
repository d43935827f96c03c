package org.azureshed.platform;

import java.util.List;

/**
 * Result of listing or watching one kind: its objects at a store version, or its changes up to one.
 *
 * @param version store version of this result; the next watch starts after it
 * @param objects all readable objects for a listing, changed ones in order of version for a watch
 * @param unreadable names of the objects that another writer left in an unusable form; they exist,
 *     so none of them may be taken for missing. Empty for one whose name is unreadable too
 */
public record Listing(long version, List<StoredObject> objects, List<String> unreadable) {
    /** Makes immutable copies of the lists. */
    public Listing {
        objects = List.copyOf(objects);
        unreadable = List.copyOf(unreadable);
    }

    /**
     * Whether an object may exist although it is not among the readable ones.
     *
     * @param name name of the object
     * @return true if it, or an object without a readable name, could not be read
     */
    public boolean mayHideUnreadable(String name) {
        return unreadable.contains(name) || unreadable.contains("");
    }
}
