package org.azureshed.sidecar;

import java.util.Comparator;
import java.util.List;
import org.azureshed.directory.Directory;
import org.azureshed.directory.NodeEntry;
import org.azureshed.watch.FleetPosition;

/** An order of the known nodes that is the same on all of them and mixes the availability zones. */
final class NodeOrder {
    /** Odd factor near 2^32 divided by the golden ratio, for multiplicative hashing. */
    private static final int SCATTERING_FACTOR = 0x9E3779B9;

    private final Directory directory;
    private final String ownName;

    /**
     * Creates an order.
     *
     * @param directory known nodes; may change
     * @param ownName name of this node
     */
    NodeOrder(Directory directory, String ownName) {
        this.directory = directory;
        this.ownName = ownName;
    }

    /** Place of this node among the known nodes. */
    FleetPosition position() {
        int own = key(ownName);
        int before = 0;
        int others = 0;
        for (NodeEntry node : directory.nodes()) {
            if (!node.name().equals(ownName)) {
                others++;
                before += key(node.name()) < own ? 1 : 0;
            }
        }
        return new FleetPosition(before, others + 1);
    }

    /**
     * Place of this node among the known nodes of an availability zone.
     *
     * @param availabilityZone zone of this node
     * @return from 0 to less than 1
     */
    double placeInZone(String availabilityZone) {
        int own = key(ownName);
        int before = 0;
        int others = 0;
        for (NodeEntry node : directory.nodes()) {
            if (node.availabilityZone().equals(availabilityZone) && !node.name().equals(ownName)) {
                others++;
                before += key(node.name()) < own ? 1 : 0;
            }
        }
        return (double) before / (others + 1);
    }

    /** Returns the other known nodes, beginning behind this one. */
    List<NodeEntry> others() {
        int own = key(ownName);
        return directory.nodes().stream()
                .filter(node -> !node.name().equals(ownName))
                .sorted(
                        Comparator.comparingLong(
                                node -> Integer.toUnsignedLong(key(node.name()) - own)))
                .toList();
    }

    private static int key(String node) {
        return node.hashCode() * SCATTERING_FACTOR;
    }
}
