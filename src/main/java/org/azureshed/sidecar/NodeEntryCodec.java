package org.azureshed.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.azureshed.directory.Condition;
import org.azureshed.directory.NodeEntry;
import org.azureshed.directory.TargetEntry;

/** The JSON form of directory entries, in the store and between nodes. */
final class NodeEntryCodec {
    private NodeEntryCodec() {}

    static ObjectNode encode(NodeEntry entry) {
        ObjectNode json =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("node", entry.name())
                        .put("az", entry.availabilityZone())
                        .put("at", entry.address())
                        .put("incarnation", entry.incarnation())
                        .put("revision", entry.revision());
        entry.target()
                .ifPresent(
                        target ->
                                json.putObject("target")
                                        .put("id", target.id())
                                        .put("born", target.startMillis())
                                        .put("service", target.service())
                                        .put("slots", target.slots())
                                        .put("condition", target.condition().name()));
        return json;
    }

    /** Reads an entry; empty if a part is missing or malformed, as others write to the store. */
    static Optional<NodeEntry> decode(JsonNode json) {
        try {
            Optional<TargetEntry> target =
                    json.hasNonNull("target")
                            ? Optional.of(decodeTarget(json.get("target")))
                            : Optional.empty();
            return Optional.of(
                    new NodeEntry(
                            text(json, "node"),
                            text(json, "az"),
                            text(json, "at"),
                            json.path("incarnation").asLong(),
                            json.path("revision").asLong(),
                            target));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static TargetEntry decodeTarget(JsonNode json) {
        return new TargetEntry(
                text(json, "id"),
                json.path("born").asLong(),
                text(json, "service"),
                json.path("slots").asInt(),
                Condition.valueOf(text(json, "condition")));
    }

    private static String text(JsonNode json, String field) {
        JsonNode value = json.get(field);
        if (value == null || !value.isTextual()) {
            throw new IllegalArgumentException("entry without " + field);
        }
        return value.textValue();
    }
}
