package org.azureshed.json;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * A JSON value as a range of bytes that has not been parsed yet. A parser rejects a whole document
 * when one value in it is malformed or exceeds its limits, for example on nesting or on the length
 * of numbers. Slicing a list first allows its elements to be parsed one by one.
 *
 * <p>Slicing only matches quotes and brackets: it takes linear time and constant memory for each
 * element, whatever the element contains.
 *
 * <pre>{@code
 * for (JsonSlice item : JsonSlice.of(body).member("items").orElseThrow().elements()) {
 *     JsonNode node = item.parse(mapper); // throws for this item only
 * }
 * }</pre>
 */
public final class JsonSlice {
    /** Limit of the elements of a list; bounds the memory of slicing a list of empty elements. */
    private static final int MAX_ELEMENTS = 1 << 16;

    private final byte[] source;
    private final int from;
    private final int to;

    private JsonSlice(byte[] source, int from, int to) {
        this.source = source;
        this.from = from;
        this.to = to;
    }

    /**
     * Wraps a document.
     *
     * @param document JSON text in UTF-8; must not be modified afterwards
     * @return the whole document, without surrounding white space
     */
    public static JsonSlice of(byte[] document) {
        checkNotNull(document, "document");
        return trimmed(document, 0, document.length);
    }

    /**
     * Returns the value of a member of this object.
     *
     * @param name name of the member; if it occurs more than once, the first one counts
     * @return the value, or empty if this object has no such member
     * @throws IOException if this is not an object or its brackets do not match
     */
    public Optional<JsonSlice> member(String name) throws IOException {
        byte[] quoted = ('"' + name + '"').getBytes(StandardCharsets.UTF_8);
        for (JsonSlice member : split('{', '}')) {
            if (member.startsWith(quoted)) {
                JsonSlice rest = trimmed(source, member.from + quoted.length, member.to);
                if (rest.from < rest.to && source[rest.from] == ':') {
                    return Optional.of(trimmed(source, rest.from + 1, rest.to));
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the elements of this array.
     *
     * @return the elements in their order; empty for an empty array
     * @throws IOException if this is not an array, its brackets do not match or it has more than
     *     65,536 elements
     */
    public List<JsonSlice> elements() throws IOException {
        return split('[', ']');
    }

    /**
     * Parses this value.
     *
     * @param mapper parser, whose limits apply to this value alone
     * @return the value, never null
     * @throws IOException if the value is empty, malformed or exceeds the parser's limits; the
     *     message tells the place, but quotes nothing, as the document may contain keys
     */
    public JsonNode parse(ObjectMapper mapper) throws IOException {
        JsonNode node;
        try {
            node = mapper.readTree(source, from, to - from);
        } catch (JsonParseException e) {
            // Not kept as the cause: its message quotes the document.
            throw new IOException(
                    String.format(
                            Locale.ROOT,
                            "malformed JSON at line %d, column %d",
                            e.getLocation().getLineNr(),
                            e.getLocation().getColumnNr()));
        }
        if (node == null || node.isMissingNode()) {
            throw new IOException("empty JSON value");
        }
        return node;
    }

    /**
     * Splits the content of an object or array at its own commas, not at those of nested values.
     */
    private List<JsonSlice> split(char open, char close) throws IOException {
        if (to - from < 2 || source[from] != open || source[to - 1] != close) {
            throw new IOException("not a JSON " + (open == '{' ? "object" : "array"));
        }
        List<JsonSlice> parts = new ArrayList<>();
        int end = to - 1;
        int start = from + 1;
        int depth = 0;
        boolean inString = false;
        for (int i = start; i < end; i++) {
            byte next = source[i];
            if (inString) {
                if (next == '\\') {
                    i++;
                } else if (next == '"') {
                    inString = false;
                }
                continue;
            }
            switch (next) {
                case '"' -> inString = true;
                case '{', '[' -> depth++;
                case '}', ']' -> {
                    if (--depth < 0) {
                        throw new IOException("unbalanced brackets in JSON");
                    }
                }
                case ',' -> {
                    if (depth == 0) {
                        add(parts, start, i);
                        start = i + 1;
                    }
                }
                default -> {
                    // Part of a value.
                }
            }
        }
        if (inString || depth != 0) {
            throw new IOException("unbalanced quotes or brackets in JSON");
        }
        JsonSlice last = trimmed(source, start, end);
        if (!parts.isEmpty() || last.from < last.to) {
            add(parts, start, end);
        }
        return parts;
    }

    private void add(List<JsonSlice> parts, int start, int end) throws IOException {
        if (parts.size() >= MAX_ELEMENTS) {
            throw new IOException("a JSON list has more than " + MAX_ELEMENTS + " elements");
        }
        parts.add(trimmed(source, start, end));
    }

    private boolean startsWith(byte[] prefix) {
        if (to - from < prefix.length) {
            return false;
        }
        for (int i = 0; i < prefix.length; i++) {
            if (source[from + i] != prefix[i]) {
                return false;
            }
        }
        return true;
    }

    private static JsonSlice trimmed(byte[] source, int start, int end) {
        int from = start;
        int to = end;
        while (from < to && isSpace(source[from])) {
            from++;
        }
        while (to > from && isSpace(source[to - 1])) {
            to--;
        }
        return new JsonSlice(source, from, to);
    }

    private static boolean isSpace(byte value) {
        return value == ' ' || value == '\n' || value == '\r' || value == '\t';
    }

    @Override
    public String toString() {
        return new String(source, from, to - from, StandardCharsets.UTF_8);
    }
}
