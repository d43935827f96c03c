package org.azureshed.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What this node alone knows of a peer that does not reply. Peers that reply have none.
 *
 * @param stage how far the suspicion went
 * @param sinceMillis start of the stage on this node's clock
 * @param openProbes indirect pings without result
 */
public record Reachability(Stage stage, long sinceMillis, int openProbes) {
    /** Checks the fields. */
    public Reachability {
        checkArgument(openProbes >= 0, "openProbes is negative");
    }

    /** Stages in their order. */
    public enum Stage {
        /** A request failed; other nodes were asked to ping the peer. */
        PROBING,
        /** Neither this node nor the asked ones got a reply. */
        SUSPECT,
        /** Suspect for some time; avoided by this node. */
        UNREACHABLE,
        /** Unreachable for so long that the record left this node's view. */
        HIDDEN
    }

    boolean avoided() {
        return stage == Stage.UNREACHABLE || stage == Stage.HIDDEN;
    }

    static Reachability of(Stage stage, long sinceMillis) {
        return new Reachability(stage, sinceMillis, 0);
    }
}
