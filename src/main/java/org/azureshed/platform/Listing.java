package org.azureshed.platform;

import java.util.List;

/**
 * Objects of one kind at, or changes up to, one version of the store.
 *
 * @param version version to watch from
 * @param objects current objects, or changed objects in order of their versions
 */
public record Listing(long version, List<StoredObject> objects) {
    /** Copies the list. */
    public Listing {
        objects = List.copyOf(objects);
    }
}
