package org.azureshed.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azureshed.generated.RecordPatch;

/**
 * A changed record to be sent in the next gossip exchanges.
 *
 * @param patches the last changes in order; if empty, the whole record is sent
 * @param exchangesLeft remaining exchanges that send it
 */
public record RecentChange(List<RecordPatch> patches, int exchangesLeft) {
    /**
     * Number of exchanges that send a change. Two suffice, because the comparison of digests finds
     * the changes that they miss.
     */
    static final int EXCHANGES = 2;

    /** A longer chain is about as large as the record. */
    private static final int MAX_PATCHES = 6;

    /** Copies the list. */
    public RecentChange {
        patches = List.copyOf(patches);
    }

    /**
     * Appends a patch to an earlier change; earlier patches are kept, because peers may have any of
     * the versions.
     */
    static RecentChange after(Optional<RecentChange> before, Optional<RecordPatch> patch) {
        boolean whole = patch.isEmpty() || before.isPresent() && before.get().patches().isEmpty();
        List<RecordPatch> chain = new ArrayList<>();
        if (!whole) {
            before.ifPresent(change -> chain.addAll(change.patches()));
            chain.add(patch.get());
        }
        return new RecentChange(chain.size() > MAX_PATCHES ? List.of() : chain, EXCHANGES);
    }

    RecentChange sent() {
        return new RecentChange(patches, exchangesLeft - 1);
    }

    int bytes() {
        return patches.stream().mapToInt(RecordPatch::getSerializedSize).sum();
    }
}
