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
 * Writes the records of the largest fleet and its preset to a platform, so that a real node loads
 * them. The other nodes do not run: their addresses are loopback addresses without a listener.
 */
public final class FleetSeed {
    private static final String NODE_KIND = "node";
    private static final String PRESET = "full";

    private FleetSeed() {}

    /**
     * Writes the fleet, or edits its preset.
     *
     * @param args base URL of the platform, and the number of the edit; 0 writes everything
     */
    public static void main(String[] args) {
        int edit = Integer.parseInt(args[1]);
        try (HttpObjectStore store = new HttpObjectStore(URI.create(args[0]))) {
            if (edit == 0) {
                ScaleBench.LARGE.others().forEach(node -> write(store, node));
            }
            PresetOperations presets = PresetOperations.of(store);
            ChangeRequest request = ChangeRequest.of("bench", "size of two years");
            presets.put(ScaleBench.LARGE.preset(edit), request)
                    .getOrElseThrow(error -> new IllegalStateException(error.toString()));
            if (edit == 0) {
                presets.use(PRESET, ChangeRequest.of("bench", "size of two years"))
                        .getOrElseThrow(error -> new IllegalStateException(error.toString()));
            }
        }
    }

    private static void write(ObjectStore store, NodeInfo node) {
        ObjectKey key = new ObjectKey(NODE_KIND, node.id().value());
        try {
            byte[] value = new ObjectMapper().writeValueAsBytes(withoutListener(node));
            store.put(key, value, ObjectStore.MUST_NOT_EXIST)
                    .getOrElseThrow(error -> new IllegalStateException(error.message()));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of plain values could not be encoded", e);
        }
    }

    private static NodeInfo withoutListener(NodeInfo node) {
        return new NodeInfo(
                node.id(),
                node.region(),
                node.availabilityZone(),
                loopback(node.entry()),
                loopback(node.host()),
                loopback(node.control()),
                node.incarnation(),
                node.sequence(),
                node.draining(),
                node.targets().stream().map(FleetSeed::withoutListener).toList());
    }

    private static TargetInfo withoutListener(TargetInfo target) {
        return new TargetInfo(
                target.id(),
                target.service(),
                loopback(target.address()),
                target.slots(),
                target.state());
    }

    private static Endpoint loopback(Endpoint endpoint) {
        return new Endpoint(endpoint.host().replaceFirst("^10\\.", "127.1"), endpoint.port());
    }
}
