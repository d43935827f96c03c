package org.azureshed.bench;

import java.util.ArrayList;
import java.util.List;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;

/** Makes records of nodes as they are at design scale: 12 targets each, 10 availability zones. */
public final class GossipFleet {
    private static final int ZONES = 10;
    private static final int TARGETS = 12;
    private static final int SERVICES = 500;
    private static final long START_MILLIS = 1_796_000_000_000L;

    private GossipFleet() {}

    /**
     * Makes the record of a node.
     *
     * @param index number of the node
     * @return the record, with ready targets
     */
    public static NodeInfo node(int index) {
        String vm = "10." + index / 65_536 + "." + index / 256 % 256 + "." + index % 256;
        List<TargetInfo> targets = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            int service = (index * 7 + i * 41) % SERVICES;
            targets.add(
                    new TargetInfo(
                            new TargetId("service-" + service + "." + index),
                            "service-" + service,
                            new Endpoint(vm, 8_100 + i),
                            4,
                            TargetState.READY));
        }
        int zone = index % ZONES;
        return new NodeInfo(
                new NodeId("node-" + index),
                "region-" + zone / 3,
                "zone-" + zone,
                new Endpoint(vm, 8_001),
                new Endpoint(vm, 8_002),
                new Endpoint(vm, 8_003),
                START_MILLIS + index,
                1,
                false,
                targets);
    }
}
