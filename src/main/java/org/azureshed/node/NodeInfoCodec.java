package org.azureshed.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.azureshed.model.NodeInfo;

/**
 * Converts a node's record in the platform to and from JSON. Unknown fields are ignored, so newer
 * versions of the program can add fields.
 */
final class NodeInfoCodec {
    private final ObjectMapper mapper =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    byte[] encode(NodeInfo node) {
        try {
            return mapper.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not encode the node record as JSON", e);
        }
    }

    Either<String, NodeInfo> decode(byte[] json) {
        try {
            return Either.right(mapper.readValue(json, NodeInfo.class));
        } catch (IOException | IllegalArgumentException e) {
            String text = new String(json, StandardCharsets.UTF_8);
            return Either.left("node record is malformed: " + e.getMessage() + " in " + text);
        }
    }
}
