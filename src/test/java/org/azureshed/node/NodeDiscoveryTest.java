package org.azureshed.node;

import org.junit.jupiter.api.Test;

/** Guards against nodes that stay unknown to the others while they host no target. */
class NodeDiscoveryTest {
    /**
     * Nodes that do not know each other would all become relays, own the same key ranges and
     * compute wrong subsets of targets.
     */
    @Test
    void nodesWithoutTargetsKnowEachOther() throws Exception {
        try (FleetInProcess fleet = new FleetInProcess()) {
            NodeSettings first = fleet.startNode("first");
            NodeSettings second = fleet.startNode("second");
            FleetInProcess.await(() -> fleet.knownNodes(first) == 2, "two nodes at the first");
            FleetInProcess.await(() -> fleet.knownNodes(second) == 2, "two nodes at the second");
        }
    }
}
