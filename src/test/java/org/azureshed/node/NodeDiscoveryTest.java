package org.azureshed.node;

import org.junit.jupiter.api.Test;

/** Guards against nodes that are unknown to the others as long as they host no target. */
class NodeDiscoveryTest {
    /** Otherwise each of them would be a relay, own key ranges twice and share subsets wrongly. */
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
