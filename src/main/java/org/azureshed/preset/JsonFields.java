package org.azureshed.preset;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.azureshed.preset.PresetProblem.Kind;

/**
 * Reads the fields of one JSON object. An invalid field adds a problem and yields a placeholder
 * value, so the rest of the file is still checked.
 */
final class JsonFields {
    private static final Pattern PLAIN_NAME = Pattern.compile("[A-Za-z_][A-Za-z0-9_-]*");

    private final String file;
    private final String path;
    private final ObjectNode object;
    private final List<PresetProblem> problems;
    private final Set<String> readNames = new HashSet<>();

    JsonFields(String file, String path, ObjectNode object, List<PresetProblem> problems) {
        this.file = file;
        this.path = path;
        this.object = object;
        this.problems = problems;
    }

    /** Returns the JSON path of a field of the object at {@code path}. */
    static String childPath(String path, String name) {
        return PLAIN_NAME.matcher(name).matches()
                ? path + "." + name
                : path + "['" + name.replace("'", "\\'") + "']";
    }

    String path(String name) {
        return childPath(path, name);
    }

    void problem(Kind kind, String valuePath, String detail, String remedy) {
        problems.add(new PresetProblem(kind, file, valuePath, detail, remedy));
    }

    Optional<JsonNode> optional(String name) {
        readNames.add(name);
        return Optional.ofNullable(object.get(name));
    }

    Optional<JsonNode> required(String name, String type, Predicate<JsonNode> hasType) {
        Optional<JsonNode> value = optional(name);
        if (value.isEmpty()) {
            problem(
                    Kind.MISSING_FIELD,
                    path(name),
                    "the field is missing",
                    "add \"" + name + "\" with " + type);
        }
        return value.filter(
                node -> hasType.test(node) || checkType(path(name), node, type, hasType));
    }

    boolean checkType(String valuePath, JsonNode value, String type, Predicate<JsonNode> hasType) {
        boolean matches = hasType.test(value);
        if (!matches) {
            String found = value.getNodeType().toString().toLowerCase(java.util.Locale.ROOT);
            problem(Kind.WRONG_TYPE, valuePath, "the value is of type " + found, "write " + type);
        }
        return matches;
    }

    /** Reads a text that must not be blank; {@code purpose} completes the remedy "write ...". */
    String text(String name, String purpose) {
        Optional<JsonNode> value = required(name, "a text: " + purpose, JsonNode::isTextual);
        if (value.isPresent() && value.get().textValue().isBlank()) {
            problem(Kind.EMPTY_TEXT, path(name), "the text is empty", "write " + purpose);
        }
        return value.map(JsonNode::textValue).orElse("");
    }

    /** Reads a text that must match a pattern; {@code form} describes the pattern in the remedy. */
    String text(String name, Pattern pattern, String form) {
        Optional<JsonNode> value = required(name, "a text: " + form, JsonNode::isTextual);
        value.map(JsonNode::textValue)
                .filter(text -> !pattern.matcher(text).matches())
                .ifPresent(text -> checkForm(path(name), text, pattern, form));
        return value.map(JsonNode::textValue).orElse("");
    }

    void checkForm(String valuePath, String text, Pattern pattern, String form) {
        if (!pattern.matcher(text).matches()) {
            String detail = "\"" + text + "\" is malformed";
            problem(Kind.MALFORMED_TEXT, valuePath, detail, "write " + form);
        }
    }

    boolean flag(String name) {
        return required(name, "true or false", JsonNode::isBoolean)
                .map(JsonNode::booleanValue)
                .orElse(false);
    }

    /** Reads an integer from {@code min} to {@code max}; returns {@code min} if it is invalid. */
    long integer(String name, long min, long max) {
        String range = "an integer from " + min + " to " + max;
        Optional<JsonNode> value = required(name, range, JsonNode::isIntegralNumber);
        if (value.isEmpty()) {
            return min;
        }
        JsonNode number = value.get();
        boolean inRange =
                number.canConvertToLong() && number.longValue() >= min && number.longValue() <= max;
        if (!inRange) {
            String detail = number + " is out of range";
            problem(Kind.OUT_OF_RANGE, path(name), detail, "write " + range);
        }
        return inRange ? number.longValue() : min;
    }

    int percent(String name, int min) {
        return (int) integer(name, min, 100);
    }

    /** Reports all fields that were not read before this call. */
    void rejectUnknownFields() {
        for (var field : object.properties()) {
            if (!readNames.contains(field.getKey())) {
                problem(
                        Kind.UNKNOWN_FIELD,
                        path(field.getKey()),
                        "the format does not define this field",
                        "remove it or use one of " + String.join(", ", new TreeSet<>(readNames)));
            }
        }
    }
}
