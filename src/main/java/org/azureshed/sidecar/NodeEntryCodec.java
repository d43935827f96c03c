package org.azureshed.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.azureshed.directory.Condition;
import org.azureshed.directory.Departures;
import org.azureshed.directory.NodeEntry;
import org.azureshed.directory.TargetEntry;
import org.azureshed.json.JsonFields;
import org.azureshed.model.Endpoint;

/** Converts directory entries to and from the JSON used in the store and between nodes. */
final class NodeEntryCodec {
    /**
     * Incarnations are start times, so one that is further ahead than any clock error comes from
     * another writer. Accepting it would leave a node no higher incarnation to choose.
     */
    private static final long MAX_INCARNATION_AHEAD_MILLIS = TimeUnit.DAYS.toMillis(366);

    private static final long MAX_REVISION = 1L << 52;

    private NodeEntryCodec() {}

    static ObjectNode encode(NodeEntry entry) {
        ObjectNode json =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("node", entry.name())
                        .put("az", entry.availabilityZone())
                        .put("at", entry.address().toString())
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
        if (!entry.departures().equals(Departures.NONE)) {
            ArrayNode departed = json.putArray("departed");
            new TreeMap<>(entry.departures().lastStarts())
                    .forEach((id, start) -> departed.addObject().put("id", id).put("born", start));
        }
        return json;
    }

    /**
     * Decodes an entry that others wrote.
     *
     * @param nowMillis current Unix time in milliseconds
     * @throws IllegalArgumentException if a field is missing, malformed or out of range, or the
     *     incarnation is far in the future; the message names it
     */
    static NodeEntry decode(JsonNode json, long nowMillis) {
        Optional<TargetEntry> target =
                json.hasNonNull("target")
                        ? Optional.of(decodeTarget(json.get("target")))
                        : Optional.empty();
        return new NodeEntry(
                JsonFields.text(json, "node"),
                JsonFields.text(json, "az"),
                Endpoint.parseIp(JsonFields.text(json, "at")),
                JsonFields.wholeNumber(
                        json, "incarnation", 0, nowMillis + MAX_INCARNATION_AHEAD_MILLIS),
                JsonFields.wholeNumber(json, "revision", 0, MAX_REVISION),
                target,
                decodeDepartures(json.path("departed")));
    }

    private static Departures decodeDepartures(JsonNode json) {
        if (json.isMissingNode()) {
            return Departures.NONE;
        }
        if (!json.isArray()) {
            throw new IllegalArgumentException("departed is not a list");
        }
        Map<String, Long> lastStarts = new HashMap<>();
        for (JsonNode departure : json) {
            lastStarts.merge(
                    JsonFields.text(departure, "id"),
                    JsonFields.wholeNumber(departure, "born", 0, Long.MAX_VALUE),
                    Math::max);
        }
        return new Departures(lastStarts);
    }

    private static TargetEntry decodeTarget(JsonNode json) {
        return new TargetEntry(
                JsonFields.text(json, "id"),
                JsonFields.wholeNumber(json, "born", 0, Long.MAX_VALUE),
                JsonFields.text(json, "service"),
                (int) JsonFields.wholeNumber(json, "slots", 1, TargetEntry.MAX_SLOTS),
                Condition.valueOf(JsonFields.text(json, "condition")));
    }
}
