package org.azureshed.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.generated.NodeRecord;
import org.azureshed.generated.RecordPatch;

/**
 * A change of this node's own record.
 *
 * <p>An urgent change is pushed together with earlier changes that some peers may not have
 * received. A peer that lacks one of them could not apply the patch, and would neither see the
 * urgent change nor forward it.
 *
 * @param patch the change; empty if it cannot be expressed as a patch
 * @param changedMillis time of the change in milliseconds
 */
public record OwnChange(Optional<RecordPatch> patch, long changedMillis) {
    /** About twice the time in which an ordinary change reaches 2,400 nodes. */
    private static final long SPREAD_MILLIS = 15_000;

    /** A longer chain is about as large as the record. */
    private static final int MAX_PATCHES = 8;

    /** Adds a change and drops those old enough to have reached all peers. */
    static List<OwnChange> append(
            List<OwnChange> changes, Optional<RecordPatch> patch, long nowMillis) {
        List<OwnChange> recentChanges = new ArrayList<>(changes);
        recentChanges.removeIf(change -> nowMillis - change.changedMillis() > SPREAD_MILLIS);
        recentChanges.add(new OwnChange(patch, nowMillis));
        // Keeps one change more than fits a push, which makes deltas() send the whole record.
        return recentChanges.size() > MAX_PATCHES + 1
                ? recentChanges.subList(
                        recentChanges.size() - MAX_PATCHES - 1, recentChanges.size())
                : recentChanges;
    }

    /**
     * Returns deltas that update a peer with any version of the last 15 seconds to the newest one.
     */
    static GossipDeltas deltas(List<OwnChange> changes, NodeRecord fullRecord) {
        boolean patches =
                changes.size() <= MAX_PATCHES
                        && changes.stream().allMatch(change -> change.patch().isPresent());
        GossipDeltas.Builder deltas = GossipDeltas.newBuilder();
        if (patches) {
            changes.forEach(change -> deltas.addPatches(change.patch().get()));
        } else {
            deltas.addNodes(fullRecord);
        }
        return deltas.build();
    }
}
