package org.azureshed.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.azureshed.directory.Heartbeat;
import org.azureshed.model.TargetState;
import org.azureshed.sidecar.TargetListener;
import org.azureshed.telemetry.DecisionLog;
import org.azureshed.traffic.ControlEndpoint;

/**
 * Handles the HTTP calls by which the local target sends heartbeats ({@code PUT}) and deregisters
 * ({@code DELETE}). Each call is answered once its effect is in force.
 */
final class HeartbeatHandler implements ControlEndpoint {
    private static final String PATH_PREFIX = "/instances/";
    private static final Reply ACKNOWLEDGED =
            new Reply(200, "application/json", "{}".getBytes(StandardCharsets.UTF_8));

    private final ObjectMapper json = new ObjectMapper();
    private final TargetListener listener;
    private final DecisionLog log;

    HeartbeatHandler(TargetListener listener, DecisionLog log) {
        this.listener = listener;
        this.log = log;
    }

    @Override
    public void handle(String method, String path, byte[] body, Consumer<Reply> reply) {
        if (!path.startsWith(PATH_PREFIX) || path.length() == PATH_PREFIX.length()) {
            reply.accept(Reply.of(404));
            return;
        }
        String id = path.substring(PATH_PREFIX.length());
        Runnable acknowledge = () -> reply.accept(ACKNOWLEDGED);
        try {
            switch (method) {
                case "PUT" -> listener.heartbeat(heartbeat(id, json.readTree(body)), acknowledge);
                case "DELETE" ->
                        listener.departed(
                                id,
                                body.length == 0 ? 0 : startMillis(json.readTree(body)),
                                acknowledge);
                default -> reply.accept(Reply.of(405));
            }
        } catch (IOException | IllegalArgumentException e) {
            log.write("heartbeat_unreadable", "target", id, "cause", e.getMessage());
            reply.accept(Reply.of(400));
        }
    }

    private static Heartbeat heartbeat(String id, JsonNode json) {
        JsonNode info = json.path("info");
        JsonNode status = json.path("status");
        return new Heartbeat(
                id,
                startMillis(json),
                wholeNumber(status, "sequence"),
                text(json, "address"),
                text(info, "service"),
                (int) wholeNumber(info, "slots"),
                state(text(status, "state")),
                status.has("warmupLeftMs") ? wholeNumber(status, "warmupLeftMs") : 0);
    }

    private static TargetState state(String text) {
        return switch (text) {
            case "ready" -> TargetState.READY;
            case "draining" -> TargetState.DRAINING;
            default -> throw new IllegalArgumentException("unknown state " + text);
        };
    }

    /** Returns the Unix time of the target's start in milliseconds; 0 if the body lacks it. */
    private static long startMillis(JsonNode json) {
        return json.has("born") ? wholeNumber(json, "born") : 0;
    }

    private static long wholeNumber(JsonNode json, String field) {
        JsonNode value = json.path(field);
        if (!value.isNumber() || value.doubleValue() != Math.rint(value.doubleValue())) {
            throw new IllegalArgumentException(field + " is not a whole number");
        }
        return value.longValue();
    }

    private static String text(JsonNode json, String field) {
        JsonNode value = json.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(field + " is not a string");
        }
        return value.textValue();
    }
}
