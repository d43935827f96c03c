package org.azureshed.platform;

import java.util.List;

/**
 * Result of listing or watching one kind: its objects at a store version, or its changes up to one.
 *
 * @param version store version of this result; the next watch starts after it
 * @param objects all objects for a listing, changed objects in order of version for a watch
 */
public record Listing(long version, List<StoredObject> objects) {
    /** Makes an immutable copy of the list. */
    public Listing {
        objects = List.copyOf(objects);
    }
}
