package org.azureshed.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.azureshed.directory.Condition;
import org.azureshed.directory.NodeEntry;
import org.azureshed.directory.TargetEntry;

/** Converts directory entries to and from the JSON used in the store and between nodes. */
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

    /** Decodes an entry that others wrote; empty if a field is missing or malformed. */
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
            throw new IllegalArgumentException("entry has no text field " + field);
        }
        return value.textValue();
    }
}
