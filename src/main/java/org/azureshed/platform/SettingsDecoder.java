package org.azureshed.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.azureshed.host.QueuePolicy;
import org.azureshed.model.Endpoint;
import org.azureshed.quota.QuotaBounds;
import org.azureshed.sidecar.SidecarSettings;

/** Decodes the JSON settings file that the platform writes for each process. */
public final class SettingsDecoder {
    /** Name in the list of contracts of deployments whose callers compete for too little room. */
    private static final String COMPETING_CALLERS = "pressure";

    private static final String PATH_VARIABLE = "AZURESHED_CONFIG";

    /** IP address at which other nodes reach this one, if not the address it listens on. */
    private static final String ADVERTISED_IP_VARIABLE = "AZURESHED_ADVERTISED_IP";

    private static final long BYTES_PER_MEGABYTE = 1_000_000;

    private SettingsDecoder() {}

    /**
     * Returns the path of the settings file from the environment.
     *
     * @param environment environment variables of this process
     * @return the path, not checked for existence
     * @throws IllegalArgumentException if the variable is not set
     */
    public static Path path(Map<String, String> environment) {
        String path = environment.get(PATH_VARIABLE);
        if (path == null) {
            throw new IllegalArgumentException(
                    PATH_VARIABLE + " is not set; set it to the path of the settings file");
        }
        return Path.of(path);
    }

    /**
     * Reads the settings file.
     *
     * @param path path of the settings file
     * @param environment environment variables, which override the advertised address
     * @return the settings, never null
     * @throws IOException if the file cannot be read
     * @throws IllegalArgumentException if a field is missing or malformed; the message names it
     */
    public static SidecarSettings read(Path path, Map<String, String> environment)
            throws IOException {
        JsonNode json = new ObjectMapper().readTree(Files.readAllBytes(path));
        Map<String, String> bounds = bounds(json.path("bounds"));
        String ip = text(json, "/ip");
        return new SidecarSettings(
                text(json, "/node"),
                text(json, "/zone"),
                text(json, "/service"),
                environment.getOrDefault(ADVERTISED_IP_VARIABLE, ip),
                endpoint(json, "/appAddress"),
                endpoint(json, "/listen/outbound"),
                endpoint(json, "/listen/inbound"),
                endpoint(json, "/listen/ready"),
                endpoint(json, "/listen/control"),
                peerEndpoint(ip, number(json, "/internalPorts/0")),
                endpoint(json, "/platform/address"),
                (long) number(json, "/heartbeatIntervalMs"),
                (long) (bound(bounds, "graceS") * 1_000),
                bound(bounds, "budgetRatio"),
                bound(bounds, "budgetSlack"),
                bound(bounds, "budgetWindowS"),
                quotaBounds(bounds),
                queuePolicy(json.path("contracts")),
                bodyMemoryBytes(json.at("/limits/memoryMb")),
                json.at("/limits/fdLimit").asLong(SidecarSettings.NO_LIMIT),
                json.path("bootstrap").asBoolean());
    }

    private static Map<String, String> bounds(JsonNode list) {
        Map<String, String> bounds = new HashMap<>();
        for (JsonNode entry : list) {
            String text = entry.asText();
            int equals = text.indexOf('=');
            if (equals > 0) {
                bounds.put(text.substring(0, equals), text.substring(equals + 1));
            }
        }
        return bounds;
    }

    private static Optional<QuotaBounds> quotaBounds(Map<String, String> bounds) {
        if (!bounds.containsKey("quotaWindowS")) {
            return Optional.empty();
        }
        return Optional.of(
                new QuotaBounds(
                        bound(bounds, "quotaWindowS"),
                        bound(bounds, "quotaOver"),
                        bound(bounds, "quotaSlack")));
    }

    private static QueuePolicy queuePolicy(JsonNode contracts) {
        for (JsonNode contract : contracts) {
            if (contract.asText().equals(COMPETING_CALLERS)) {
                return QueuePolicy.BY_COST;
            }
        }
        return QueuePolicy.BY_DEADLINE;
    }

    private static double bound(Map<String, String> bounds, String name) {
        String value = bounds.get(name);
        try {
            if (value != null) {
                return Double.parseDouble(value);
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("bound " + name + " is not a number: " + value, e);
        }
        throw new IllegalArgumentException("the settings have no entry in bounds named " + name);
    }

    private static String text(JsonNode json, String pointer) {
        JsonNode value = json.at(pointer);
        if (!value.isTextual()) {
            throw new IllegalArgumentException("the settings have no string at " + pointer);
        }
        return value.textValue();
    }

    private static Endpoint endpoint(JsonNode json, String pointer) {
        try {
            return Endpoint.parseIp(text(json, pointer));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    "the settings have no IP address and port at "
                            + pointer
                            + ": "
                            + e.getMessage(),
                    e);
        }
    }

    private static Endpoint peerEndpoint(String ip, double port) {
        if (port != (int) port) {
            throw new IllegalArgumentException(
                    "the settings have no port at /internalPorts/0: " + port);
        }
        return Endpoint.parseIp(ip + ':' + (int) port);
    }

    private static long bodyMemoryBytes(JsonNode memoryMb) {
        if (memoryMb.isMissingNode() || memoryMb.isNull()) {
            return SidecarSettings.DEFAULT_BODY_MEMORY_BYTES;
        }
        if (!memoryMb.isNumber()) {
            throw new IllegalArgumentException("the settings have no number at /limits/memoryMb");
        }
        return SidecarSettings.bodyMemoryOf((long) (memoryMb.doubleValue() * BYTES_PER_MEGABYTE));
    }

    private static double number(JsonNode json, String pointer) {
        JsonNode value = json.at(pointer);
        if (!value.isNumber()) {
            throw new IllegalArgumentException("the settings have no number at " + pointer);
        }
        return value.doubleValue();
    }
}
