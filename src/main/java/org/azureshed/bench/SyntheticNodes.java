package org.azureshed.bench;

import java.util.ArrayList;
import java.util.List;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;

/**
 * Creates node records as they are at design scale: 12 targets on each node, 10 availability zones
 * and 500 services.
 */
public final class SyntheticNodes {
    private static final int ZONES = 10;
    private static final int TARGETS_PER_NODE = 12;
    private static final int SERVICES = 500;

    /** Incarnation of the first node: a start time in milliseconds since the epoch. */
    private static final long BASE_INCARNATION = 1_796_000_000_000L;

    private SyntheticNodes() {}

    /**
     * Creates the record of a node.
     *
     * @param index number of the node, from 0; it determines the availability zone and the services
     * @return the record, whose targets are all ready
     */
    public static NodeInfo node(int index) {
        String vm = "10." + index / 65_536 + "." + index / 256 % 256 + "." + index % 256;
        List<TargetInfo> targets = new ArrayList<>();
        for (int i = 0; i < TARGETS_PER_NODE; i++) {
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
                BASE_INCARNATION + index,
                1,
                false,
                targets);
    }
}
