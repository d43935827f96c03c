package org.azureshed.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Failure detection state of a peer that does not reply, in this node's view only. Peers that reply
 * have none.
 *
 * @param stage current stage
 * @param sinceMillis start of the stage in milliseconds on this node's clock
 * @param openProbes indirect pings in flight
 */
public record Reachability(Stage stage, long sinceMillis, int openProbes) {
    /** Checks the fields. */
    public Reachability {
        checkArgument(openProbes >= 0, "openProbes is negative");
    }

    /** Stages in the order in which a silent peer passes through them. */
    public enum Stage {
        /** A request failed; other nodes were asked to ping the peer. */
        PROBING,
        /** Neither this node nor the helpers got a reply. */
        SUSPECT,
        /** Suspect for some time; avoided by this node. */
        UNREACHABLE,
        /** Unreachable for so long that the record was removed from this node's view. */
        HIDDEN
    }

    boolean avoided() {
        return stage == Stage.UNREACHABLE || stage == Stage.HIDDEN;
    }

    static Reachability of(Stage stage, long sinceMillis) {
        return new Reachability(stage, sinceMillis, 0);
    }
}
