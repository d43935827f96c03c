package org.azureshed.routing;

import java.util.ArrayList;
import java.util.List;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;

/** Test candidates: one target on each node, with the nodes in two availability zones. */
final class Fleet {
    private static final Endpoint ADDRESS = new Endpoint("127.0.0.1", 1);

    private Fleet() {}

    static List<Candidate> of(int size) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            candidates.add(candidate(i, TargetState.READY));
        }
        return candidates;
    }

    static Candidate candidate(int index, TargetState state) {
        TargetInfo target = new TargetInfo(new TargetId("t" + index), "reading", ADDRESS, 4, state);
        return new Candidate(node("n" + index, "zone" + index % 2, List.of(target)), target);
    }

    static Candidate inRegion(String region, int index) {
        TargetInfo target = candidate(index, TargetState.READY).target();
        return new Candidate(node("n" + index, region, "zone0", List.of(target)), target);
    }

    static NodeInfo node(String id, String zone, List<TargetInfo> targets) {
        return node(id, "north", zone, targets);
    }

    private static NodeInfo node(String id, String region, String zone, List<TargetInfo> targets) {
        return new NodeInfo(
                new NodeId(id), region, zone, ADDRESS, ADDRESS, ADDRESS, 1, 1, false, targets);
    }
}
