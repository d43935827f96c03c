package org.azureshed.idempotency;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.azureshed.model.NodeId;

/**
 * Lease of a key range: the content of the platform object {@code key-range/<n>}.
 *
 * @param range the range
 * @param holder owner of the range while the lease is valid
 * @param epoch grows by one with each change of owner
 * @param successors instances that may take over; they are named with their incarnation, because a
 *     restarted node has lost its record of consents and of writes in flight
 * @param write number of the write within the holder's instance; it tells the holder which of its
 *     writes took effect
 * @param keysUpToMillis no key above this time was granted before this write, in milliseconds since
 *     the epoch
 * @param clockSampleMillis platform time of the sample from which the holder extrapolates platform
 *     time; 0 if it had none
 */
public record KeyRangeLease(
        KeyRange range,
        NodeInstance holder,
        long epoch,
        List<NodeInstance> successors,
        long write,
        long keysUpToMillis,
        long clockSampleMillis) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Copies the successors. */
    public KeyRangeLease {
        checkArgument(epoch > 0, "epoch must be positive");
        successors = List.copyOf(successors);
    }

    /**
     * Encodes the lease.
     *
     * @return UTF-8 JSON
     */
    public byte[] toJson() {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("range", range.number());
        root.set("holder", encode(holder));
        root.put("epoch", epoch);
        successors.forEach(successor -> root.withArray("successors").add(encode(successor)));
        root.put("write", write);
        root.put("keysUpToMillis", keysUpToMillis);
        root.put("clockSampleMillis", clockSampleMillis);
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (JacksonException e) {
            throw new IllegalStateException("failed to encode a key-range lease as JSON", e);
        }
    }

    /**
     * Decodes a lease.
     *
     * @param json content of the platform object
     * @return the lease, or what is wrong with the content
     */
    public static Either<String, KeyRangeLease> parse(byte[] json) {
        try {
            JsonNode root = MAPPER.readTree(json);
            List<NodeInstance> successors = new ArrayList<>();
            root.path("successors").forEach(node -> successors.add(decode(node)));
            return Either.right(
                    new KeyRangeLease(
                            new KeyRange(root.required("range").intValue()),
                            decode(root.required("holder")),
                            number(root, "epoch"),
                            successors,
                            number(root, "write"),
                            number(root, "keysUpToMillis"),
                            number(root, "clockSampleMillis")));
        } catch (IOException | IllegalArgumentException e) {
            return Either.left("key-range object is malformed: " + e.getMessage());
        }
    }

    private static ObjectNode encode(NodeInstance instance) {
        return MAPPER.createObjectNode()
                .put("node", instance.node().value())
                .put("incarnation", instance.incarnation());
    }

    private static NodeInstance decode(JsonNode node) {
        return new NodeInstance(
                new NodeId(node.required("node").asText()), number(node, "incarnation"));
    }

    private static long number(JsonNode node, String name) {
        JsonNode value = node.required(name);
        checkArgument(value.isIntegralNumber(), "%s is not an integer", name);
        return value.longValue();
    }
}
