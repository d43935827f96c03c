package org.azureshed.membership;

import java.util.ArrayList;
import java.util.List;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;

/**
 * The other nodes by location, for random choice.
 *
 * @param own nodes of the own availability zone
 * @param elsewhere nodes of the other availability zones
 * @param current whether the lists match the table
 */
public record PeerIndex(List<NodeId> own, List<NodeId> elsewhere, boolean current) {
    /** Copies the lists. */
    public PeerIndex {
        own = List.copyOf(own);
        elsewhere = List.copyOf(elsewhere);
    }

    static PeerIndex empty() {
        return new PeerIndex(List.of(), List.of(), false);
    }

    static PeerIndex of(RecordTable table, NodeInfo self) {
        List<NodeId> own = new ArrayList<>();
        List<NodeId> elsewhere = new ArrayList<>();
        for (MemberRecord record : table.all()) {
            if (record.removed() || record.id().equals(self.id())) {
                continue;
            }
            String zone = record.info().get().availabilityZone();
            (zone.equals(self.availabilityZone()) ? own : elsewhere).add(record.id());
        }
        return new PeerIndex(own, elsewhere, true);
    }

    PeerIndex outdated() {
        return current ? new PeerIndex(own, elsewhere, false) : this;
    }

    boolean isEmpty() {
        return own.isEmpty() && elsewhere.isEmpty();
    }
}
