package org.azureshed.ejection;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/** JSON form of {@link EjectionRecord}. Unknown fields are ignored. */
public final class EjectionRecordCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EjectionRecordCodec() {}

    /**
     * Encodes a record.
     *
     * @param record record to store
     * @return JSON in UTF-8
     */
    public static byte[] encode(EjectionRecord record) {
        ObjectNode root = MAPPER.createObjectNode().put("service", record.service());
        var targets = root.putArray("targets");
        for (EjectedTarget entry : record.targets()) {
            Evidence evidence = entry.evidence();
            targets.addObject()
                    .put("target", entry.target().value())
                    .put("node", entry.node().value())
                    .put("stage", entry.stage().name())
                    .put("sinceMillis", entry.sinceMillis())
                    .put("relapses", entry.relapses())
                    .putObject("evidence")
                    .put("kind", evidence.kind().name())
                    .put("requestClass", evidence.requestClass())
                    .put("value", evidence.value())
                    .put("peers", evidence.peers())
                    .put("samples", evidence.samples())
                    .put("severity", evidence.severity())
                    .put("significance", evidence.significance());
        }
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of JSON values cannot fail to encode", e);
        }
    }

    /**
     * Decodes a record.
     *
     * @param json JSON in UTF-8
     * @return the record, or an error message if the JSON is malformed
     */
    public static Either<String, EjectionRecord> decode(byte[] json) {
        try {
            JsonNode root = MAPPER.readTree(json);
            List<EjectedTarget> targets = new ArrayList<>();
            for (JsonNode entry : root.path("targets")) {
                targets.add(decodeTarget(entry));
            }
            return Either.right(new EjectionRecord(text(root, "service"), targets));
        } catch (IOException | IllegalArgumentException e) {
            return Either.left(
                    "the ejection record is malformed ("
                            + e.getMessage()
                            + "); the next change replaces it");
        }
    }

    private static EjectedTarget decodeTarget(JsonNode entry) {
        JsonNode evidence = entry.path("evidence");
        return new EjectedTarget(
                new TargetId(text(entry, "target")),
                new NodeId(text(entry, "node")),
                Stage.valueOf(text(entry, "stage")),
                entry.path("sinceMillis").asLong(),
                entry.path("relapses").asInt(),
                new Evidence(
                        Evidence.Kind.valueOf(text(evidence, "kind")),
                        evidence.path("requestClass").asText(),
                        evidence.path("value").asDouble(),
                        evidence.path("peers").asDouble(),
                        evidence.path("samples").asInt(),
                        evidence.path("severity").asDouble(),
                        evidence.path("significance").asDouble()));
    }

    private static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException("field " + field + " is missing");
        }
        return value.asText();
    }
}
