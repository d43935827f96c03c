package org.azureshed.distribution;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The latest preset that a node knows, as announced to its peers.
 *
 * @param number activation number, above 0
 * @param manifest digest of the manifest
 * @param complete whether the node has the manifest and all chunks
 */
public record Announcement(long number, ContentDigest manifest, boolean complete) {
    /** Checks the number. */
    public Announcement {
        checkArgument(number > 0, "activation number %s is not above 0", number);
    }
}
