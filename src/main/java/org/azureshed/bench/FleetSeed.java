package org.azureshed.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetInfo;
import org.azureshed.platform.HttpObjectStore;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.preset.ChangeRequest;
import org.azureshed.preset.PresetOperations;

/**
 * Writes the preset and the node records of the largest fleet of {@link ScaleBench} to a platform,
 * so that a real node loads them. The other nodes do not run: their addresses are loopback
 * addresses without a listener.
 */
public final class FleetSeed {
    private static final String NODE_KIND = "node";
    private static final String PRESET_NAME = "full";

    private FleetSeed() {}

    /**
     * Writes the fleet, or edits its preset.
     *
     * @param args base URL of the platform, and the number of the edit; 0 writes the node records
     *     and the preset and puts the preset in force
     */
    public static void main(String[] args) {
        int editNumber = Integer.parseInt(args[1]);
        try (HttpObjectStore store = new HttpObjectStore(URI.create(args[0]))) {
            if (editNumber == 0) {
                ScaleBench.LARGE.otherNodes().forEach(node -> writeRecord(store, node));
            }
            PresetOperations presets = PresetOperations.of(store);
            ChangeRequest request = ChangeRequest.of("bench", "size of two years");
            presets.put(ScaleBench.LARGE.preset(editNumber), request)
                    .getOrElseThrow(error -> new IllegalStateException(error.toString()));
            if (editNumber == 0) {
                presets.use(PRESET_NAME, ChangeRequest.of("bench", "size of two years"))
                        .getOrElseThrow(error -> new IllegalStateException(error.toString()));
            }
        }
    }

    private static void writeRecord(ObjectStore store, NodeInfo node) {
        ObjectKey key = new ObjectKey(NODE_KIND, node.id().value());
        try {
            byte[] value = new ObjectMapper().writeValueAsBytes(withLoopbackAddresses(node));
            store.put(key, value, ObjectStore.MUST_NOT_EXIST)
                    .getOrElseThrow(error -> new IllegalStateException(error.message()));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a node record could not be encoded as JSON", e);
        }
    }

    private static NodeInfo withLoopbackAddresses(NodeInfo node) {
        return new NodeInfo(
                node.id(),
                node.region(),
                node.availabilityZone(),
                toLoopback(node.entry()),
                toLoopback(node.host()),
                toLoopback(node.control()),
                node.incarnation(),
                node.sequence(),
                node.draining(),
                node.targets().stream().map(FleetSeed::withLoopbackAddresses).toList());
    }

    private static TargetInfo withLoopbackAddresses(TargetInfo target) {
        return new TargetInfo(
                target.id(),
                target.service(),
                toLoopback(target.address()),
                target.slots(),
                target.state());
    }

    private static Endpoint toLoopback(Endpoint endpoint) {
        return new Endpoint(endpoint.host().replaceFirst("^10\\.", "127.1"), endpoint.port());
    }
}
