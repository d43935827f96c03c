package org.azureshed.membership;

import java.util.ArrayList;
import java.util.List;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;

/**
 * The other nodes by location, for random choice.
 *
 * @param sameZone nodes of this node's availability zone
 * @param otherZones nodes of the other availability zones
 * @param current whether the lists match the table
 */
public record PeerIndex(List<NodeId> sameZone, List<NodeId> otherZones, boolean current) {
    /** Copies the lists. */
    public PeerIndex {
        sameZone = List.copyOf(sameZone);
        otherZones = List.copyOf(otherZones);
    }

    static PeerIndex empty() {
        return new PeerIndex(List.of(), List.of(), false);
    }

    static PeerIndex of(RecordTable table, NodeInfo self) {
        List<NodeId> sameZone = new ArrayList<>();
        List<NodeId> otherZones = new ArrayList<>();
        for (MemberRecord record : table.all()) {
            if (record.removed() || record.id().equals(self.id())) {
                continue;
            }
            String zone = record.info().get().availabilityZone();
            (zone.equals(self.availabilityZone()) ? sameZone : otherZones).add(record.id());
        }
        return new PeerIndex(sameZone, otherZones, true);
    }

    PeerIndex outdated() {
        return current ? new PeerIndex(sameZone, otherZones, false) : this;
    }

    boolean isEmpty() {
        return sameZone.isEmpty() && otherZones.isEmpty();
    }
}
