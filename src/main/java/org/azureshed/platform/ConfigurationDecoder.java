package org.azureshed.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.azureshed.dispatch.ForwardRoute;
import org.azureshed.dispatch.Organisation;
import org.azureshed.dispatch.OrganisationKeys;
import org.azureshed.dispatch.TrafficConfiguration;
import org.azureshed.http.RequestTarget;
import org.azureshed.json.JsonFields;

/** Decodes the configuration that the operator stores as JSON: one list of typed resources. */
final class ConfigurationDecoder {
    private static final String VERSION_PREFIX = "r";

    private ConfigurationDecoder() {}

    /**
     * Decodes a configuration. Resources of unknown types are ignored.
     *
     * @param json content of the operator's object in the store
     * @return the routes, organisations and limits, never null
     * @throws IllegalArgumentException if the version is malformed, the limits are missing or a
     *     route or organisation is invalid; the message names the cause, but no key
     */
    static TrafficConfiguration decode(JsonNode json) {
        List<ForwardRoute> routes = new ArrayList<>();
        Map<Organisation, Set<String>> organisations = new HashMap<>();
        TrafficConfiguration.CallerLimits limits = null;
        for (JsonNode resource : json.path("resources")) {
            JsonNode content = resource.path("specification");
            String name = resource.path("metadata").path("name").asText();
            switch (resource.path("resourceType").asText()) {
                case "routes" -> routes.add(route(name, content));
                case "tenants" ->
                        organisations
                                .computeIfAbsent(
                                        organisation(resource.path("metadata"), content),
                                        organisation -> new HashSet<>())
                                .addAll(keys(content));
                case "limits" -> limits = limits(content);
                default -> {
                    // Service resources contain only data that targets also report in heartbeats.
                }
            }
        }
        if (limits == null) {
            throw new IllegalArgumentException("the configuration has no limits");
        }
        return new TrafficConfiguration(
                version(json.path("version").asText()),
                routes,
                !organisations.isEmpty(),
                new OrganisationKeys(organisations),
                limits);
    }

    private static long version(String text) {
        if (!text.startsWith(VERSION_PREFIX)) {
            throw new IllegalArgumentException("malformed version: " + text);
        }
        return Long.parseLong(text.substring(VERSION_PREFIX.length()));
    }

    private static ForwardRoute route(String name, JsonNode json) {
        return new ForwardRoute(
                name,
                RequestTarget.comparableHost(json.path("host").asText()),
                json.path("pathPrefix").asText(),
                isRepeatable(json.path("kind").asText()),
                json.path("timeoutMs").asLong(),
                json.path("targetLatencyMs").asLong(),
                json.path("priority").asInt(),
                json.path("attempts").asInt(1),
                json.path("public").asBoolean(),
                shares(json));
    }

    private static Organisation organisation(JsonNode metadata, JsonNode json) {
        JsonNode priority = json.path("priority");
        return new Organisation(
                JsonFields.text(metadata, "name"),
                priority.isNumber() ? OptionalInt.of(priority.asInt()) : OptionalInt.empty(),
                optionalNumber(json, "ratePerS"),
                optionalNumber(json, "burst"));
    }

    /** Reads 0 for a missing number; a malformed rate must not mean that there is no limit. */
    private static double optionalNumber(JsonNode json, String field) {
        JsonNode value = json.path(field);
        if (!value.isMissingNode() && !value.isNull() && !value.isNumber()) {
            throw new IllegalArgumentException("organisation: " + field + " is not a number");
        }
        return value.asDouble();
    }

    private static Set<String> keys(JsonNode json) {
        JsonNode list = json.path("apiKeys");
        if (!list.isMissingNode() && !list.isNull() && !list.isArray()) {
            throw new IllegalArgumentException("organisation: apiKeys is not a list");
        }
        Set<String> keys = new HashSet<>();
        for (JsonNode key : list) {
            // An empty text, and what other values are converted to, are no secrets.
            if (!key.isTextual() || key.textValue().isEmpty()) {
                throw new IllegalArgumentException("organisation: a key is not a text");
            }
            keys.add(key.textValue());
        }
        return keys;
    }

    private static boolean isRepeatable(String kind) {
        return kind.equals("idempotent") || kind.equals("download");
    }

    private static List<ForwardRoute.Share> shares(JsonNode json) {
        if (json.hasNonNull("service")) {
            return List.of(new ForwardRoute.Share(json.get("service").asText(), 1));
        }
        List<ForwardRoute.Share> shares = new ArrayList<>();
        for (JsonNode part : json.path("trafficSplit")) {
            shares.add(
                    new ForwardRoute.Share(
                            part.path("service").asText(), part.path("weight").asDouble()));
        }
        return shares;
    }

    private static TrafficConfiguration.CallerLimits limits(JsonNode json) {
        return new TrafficConfiguration.CallerLimits(
                json.path("maxHeaderBytes").asInt(),
                json.path("maxBodyBytes").asLong(),
                json.path("headerTimeoutMs").asLong(),
                json.path("idleTimeoutMs").asLong());
    }
}
