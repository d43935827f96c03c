package org.azureshed.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.azureshed.dispatch.ForwardRoute;
import org.azureshed.dispatch.TrafficConfiguration;
import org.azureshed.http.RequestTarget;

/** Decodes the configuration that the operator stores as JSON: one list of typed resources. */
final class ConfigurationDecoder {
    private static final String VERSION_PREFIX = "r";

    private ConfigurationDecoder() {}

    /**
     * Decodes a configuration. Resources of unknown types are ignored.
     *
     * @param json content of the operator's object in the store
     * @return the routes and limits, never null
     * @throws IllegalArgumentException if the version is malformed, the limits are missing or a
     *     route is invalid; the message names the cause
     */
    static TrafficConfiguration decode(JsonNode json) {
        List<ForwardRoute> routes = new ArrayList<>();
        TrafficConfiguration.CallerLimits limits = null;
        for (JsonNode resource : json.path("resources")) {
            JsonNode content = resource.path("specification");
            switch (resource.path("resourceType").asText()) {
                case "routes" ->
                        routes.add(route(resource.path("metadata").path("name").asText(), content));
                case "limits" -> limits = limits(content);
                default -> {
                    // Service resources contain only data that targets also report in heartbeats.
                }
            }
        }
        if (limits == null) {
            throw new IllegalArgumentException("the configuration has no limits");
        }
        return new TrafficConfiguration(version(json.path("version").asText()), routes, limits);
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
                shares(json));
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
