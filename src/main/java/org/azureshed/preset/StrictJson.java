package org.azureshed.preset;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.azureshed.preset.PresetProblem.Kind;

/**
 * Parses JSON and reports every duplicate field. Jackson's duplicate detection stops at the first
 * duplicate, and without it Jackson silently keeps the last value.
 */
final class StrictJson {
    private static final JsonFactory FACTORY = new ObjectMapper().getFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final String file;
    private final List<PresetProblem> problems;

    /** Field names (texts) and array indexes (integers) from the root to the current value. */
    private final Deque<Object> position = new ArrayDeque<>();

    private StrictJson(String file, List<PresetProblem> problems) {
        this.file = file;
        this.problems = problems;
    }

    /**
     * Parses one JSON value.
     *
     * @param file file name that problems report
     * @param content the JSON text in UTF-8
     * @param problems receives the problems found
     * @return the value, or empty if the text is not JSON
     */
    static Optional<JsonNode> parse(String file, byte[] content, List<PresetProblem> problems) {
        try (JsonParser parser = FACTORY.createParser(content)) {
            if (parser.nextToken() == null) {
                problems.add(malformed(file, "the file is empty"));
                return Optional.empty();
            }
            JsonNode root = new StrictJson(file, problems).value(parser);
            if (parser.nextToken() != null) {
                problems.add(malformed(file, "there is text after the JSON value"));
                return Optional.empty();
            }
            return Optional.of(root);
        } catch (JsonProcessingException e) {
            String place =
                    e.getLocation() == null
                            ? ""
                            : " at line "
                                    + e.getLocation().getLineNr()
                                    + ", column "
                                    + e.getLocation().getColumnNr();
            String reason = e.getOriginalMessage().lines().findFirst().orElse("");
            problems.add(malformed(file, "not valid JSON" + place + ": " + reason));
            return Optional.empty();
        } catch (IOException e) {
            problems.add(malformed(file, "not readable: " + e.getMessage()));
            return Optional.empty();
        }
    }

    private static PresetProblem malformed(String file, String detail) {
        return new PresetProblem(
                Kind.MALFORMED_JSON, file, "$", detail, "write one JSON object in UTF-8");
    }

    private JsonNode value(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return object(parser);
        }
        if (token == JsonToken.START_ARRAY) {
            return array(parser);
        }
        if (token == JsonToken.VALUE_STRING) {
            return NODES.textNode(parser.getText());
        }
        if (token == JsonToken.VALUE_NUMBER_INT) {
            return integer(parser);
        }
        if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            return NODES.numberNode(parser.getDecimalValue());
        }
        return token == JsonToken.VALUE_NULL
                ? NODES.nullNode()
                : NODES.booleanNode(token == JsonToken.VALUE_TRUE);
    }

    private static JsonNode integer(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    private ArrayNode array(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            position.addLast(array.size());
            array.add(value(parser));
            position.removeLast();
        }
        return array;
    }

    private ObjectNode object(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            position.addLast(name);
            parser.nextToken();
            JsonNode previous = object.replace(name, value(parser));
            if (previous != null) {
                problems.add(
                        new PresetProblem(
                                Kind.DUPLICATE,
                                file,
                                path(),
                                "\"" + name + "\" appears twice",
                                "keep one of them or rename one"));
            }
            position.removeLast();
        }
        return object;
    }

    private String path() {
        String path = "$";
        for (Object step : position) {
            path =
                    step instanceof String name
                            ? JsonFields.childPath(path, name)
                            : path + "[" + step + "]";
        }
        return path;
    }
}
