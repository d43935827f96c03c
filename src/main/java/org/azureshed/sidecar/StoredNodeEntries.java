package org.azureshed.sidecar;

import java.util.ArrayList;
import java.util.List;
import org.azureshed.directory.NodeEntry;
import org.azureshed.telemetry.UnusableEntries;

/** Decodes the node entries of a store response. Unusable ones are reported and left out. */
final class StoredNodeEntries {
    private final UnusableEntries unusable;

    StoredNodeEntries(UnusableEntries unusable) {
        this.unusable = unusable;
    }

    /** Returns the usable entries, in the order of the response. */
    List<NodeEntry> decode(FleetStore.Result.Done done) {
        done.unreadable().forEach(odd -> unusable.report(odd.kind(), odd.name(), odd.cause()));
        List<NodeEntry> entries = new ArrayList<>();
        for (FleetStore.StoredEntry stored : done.entries()) {
            try {
                NodeEntry entry =
                        NodeEntryCodec.decode(stored.content(), System.currentTimeMillis());
                if (entry.name().equals(stored.name())) {
                    entries.add(entry);
                } else {
                    String cause = "entry of another name: " + entry.name();
                    unusable.report(stored.kind(), stored.name(), cause);
                }
            } catch (IllegalArgumentException e) {
                unusable.report(stored.kind(), stored.name(), e.getMessage());
            }
        }
        return entries;
    }
}
