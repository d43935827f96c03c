package org.azureshed.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.generated.NodeRecord;
import org.azureshed.generated.RecordPatch;

/**
 * A change of the own record.
 *
 * <p>An urgent change is pushed together with the changes before it that may still be on their way;
 * a peer that lacks one of them could not apply the patch, and would neither know of the drain nor
 * pass it on.
 *
 * @param patch the change; empty if it cannot be told as a patch
 * @param madeMillis when it was made
 */
public record OwnChange(Optional<RecordPatch> patch, long madeMillis) {
    /** About twice the time in which an ordinary change reaches 2,400 nodes. */
    private static final long SPREAD_MILLIS = 15_000;

    /** A longer chain is about as large as the record. */
    private static final int MAX_PATCHES = 8;

    /** Adds a change and drops those that all peers have. */
    static List<OwnChange> append(
            List<OwnChange> changes, Optional<RecordPatch> patch, long nowMillis) {
        List<OwnChange> kept = new ArrayList<>(changes);
        kept.removeIf(change -> nowMillis - change.madeMillis() > SPREAD_MILLIS);
        kept.add(new OwnChange(patch, nowMillis));
        // One more than can be pushed as patches marks that the whole record is needed.
        return kept.size() > MAX_PATCHES + 1
                ? kept.subList(kept.size() - MAX_PATCHES - 1, kept.size())
                : kept;
    }

    /** What tells the newest change to peers that have any version of the last seconds. */
    static GossipDeltas deltas(List<OwnChange> changes, NodeRecord whole) {
        boolean patches =
                changes.size() <= MAX_PATCHES
                        && changes.stream().allMatch(change -> change.patch().isPresent());
        GossipDeltas.Builder deltas = GossipDeltas.newBuilder();
        if (patches) {
            changes.forEach(change -> deltas.addPatches(change.patch().get()));
        } else {
            deltas.addNodes(whole);
        }
        return deltas.build();
    }
}
