package org.azureshed.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azureshed.directory.NodeEntry;
import org.azureshed.dispatch.SuspectRequests;
import org.azureshed.json.JsonFields;
import org.azureshed.json.JsonSlice;
import org.azureshed.poison.RequestFingerprint;
import org.azureshed.telemetry.UnusableEntries;

/**
 * Converts the messages between nodes to and from JSON. Each element of a message is decoded on its
 * own; an unusable one is reported and left out.
 */
final class PeerMessageCodec {
    private static final int MAX_CRASHES = 1_000;

    private final ObjectMapper json = new ObjectMapper();
    private final UnusableEntries unusable;

    PeerMessageCodec(UnusableEntries unusable) {
        this.unusable = unusable;
    }

    ObjectMapper mapper() {
        return json;
    }

    ObjectNode object() {
        return json.createObjectNode();
    }

    /** Builds a message with entries and, if there are any, the reports of suspect requests. */
    ObjectNode message(List<NodeEntry> entries, SuspectRequests suspects) {
        ObjectNode message = json.createObjectNode();
        ArrayNode list = message.putArray("entries");
        entries.forEach(entry -> list.add(NodeEntryCodec.encode(entry)));
        if (!suspects.isEmpty()) {
            ArrayNode reports = message.putArray("suspects");
            for (SuspectRequests.Report report : suspects.reports()) {
                reports.addObject()
                        .put("node", report.node())
                        .put("request", report.request().value())
                        .put("crashes", report.crashes());
            }
        }
        return message;
    }

    /**
     * Decodes the entries of a message.
     *
     * @param source sender for the report of unusable entries
     * @throws IOException if the message itself is malformed
     */
    List<NodeEntry> entries(JsonSlice message, String source) throws IOException {
        List<NodeEntry> entries = new ArrayList<>();
        for (JsonSlice element : elements(message, "entries")) {
            try {
                entries.add(NodeEntryCodec.decode(element.parse(json), System.currentTimeMillis()));
            } catch (IOException | IllegalArgumentException e) {
                unusable.report("entries", source, e.getMessage());
            }
        }
        return entries;
    }

    /**
     * Decodes the reports of suspect requests in a message.
     *
     * @param source sender for the report of unusable elements
     * @throws IOException if the message itself is malformed
     */
    List<SuspectRequests.Report> suspects(JsonSlice message, String source) throws IOException {
        List<SuspectRequests.Report> reports = new ArrayList<>();
        for (JsonSlice element : elements(message, "suspects")) {
            try {
                reports.add(suspect(element.parse(json)));
            } catch (IOException | IllegalArgumentException e) {
                unusable.report("suspects", source, e.getMessage());
            }
        }
        return reports;
    }

    private static SuspectRequests.Report suspect(JsonNode report) {
        return new SuspectRequests.Report(
                JsonFields.text(report, "node"),
                new RequestFingerprint(
                        JsonFields.wholeNumber(report, "request", Long.MIN_VALUE, Long.MAX_VALUE)),
                (int) JsonFields.wholeNumber(report, "crashes", 0, MAX_CRASHES));
    }

    private static List<JsonSlice> elements(JsonSlice message, String field) throws IOException {
        Optional<JsonSlice> list = message.member(field);
        return list.isPresent() ? list.get().elements() : List.of();
    }

    /**
     * Reads a whole number of a message.
     *
     * @throws IOException if the field is missing or no whole number
     */
    long number(JsonSlice message, String field) throws IOException {
        JsonSlice value =
                message.member(field).orElseThrow(() -> new IOException("no field " + field));
        JsonNode number = value.parse(json);
        if (!number.isIntegralNumber() || !number.canConvertToLong()) {
            throw new IOException(field + " is not a whole number");
        }
        return number.longValue();
    }

    byte[] bytes(JsonNode message) {
        try {
            return json.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }
}
