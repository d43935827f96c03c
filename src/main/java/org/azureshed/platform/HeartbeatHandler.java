package org.azureshed.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.azureshed.directory.Heartbeat;
import org.azureshed.directory.TargetEntry;
import org.azureshed.json.JsonFields;
import org.azureshed.model.Endpoint;
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
            decode(method, id, body, acknowledge).run();
        } catch (IOException | IllegalArgumentException e) {
            log.write("heartbeat_unreadable", "target", id, "cause", e.getMessage());
            reply.accept(Reply.of(400));
        }
    }

    private Runnable decode(String method, String id, byte[] body, Runnable acknowledge)
            throws IOException {
        return switch (method) {
            case "PUT" -> {
                Heartbeat heartbeat = heartbeat(id, json.readTree(body));
                yield () -> listener.heartbeat(heartbeat, acknowledge);
            }
            case "DELETE" -> {
                TargetEntry.checkId(id);
                long startMillis = body.length == 0 ? 0 : startMillis(json.readTree(body));
                yield () -> listener.departed(id, startMillis, acknowledge);
            }
            default -> throw new IllegalArgumentException("method " + method);
        };
    }

    private static Heartbeat heartbeat(String id, JsonNode json) {
        JsonNode info = json.path("info");
        JsonNode status = json.path("status");
        // Not used, but a heartbeat without them comes from another writer.
        JsonFields.text(info, "version");
        JsonFields.text(info, "zone");
        return new Heartbeat(
                id,
                startMillis(json),
                JsonFields.wholeNumber(status, "sequence", Long.MIN_VALUE, Long.MAX_VALUE),
                Endpoint.parseIp(JsonFields.text(json, "address")),
                JsonFields.text(info, "service"),
                (int) JsonFields.wholeNumber(info, "slots", 1, TargetEntry.MAX_SLOTS),
                state(JsonFields.text(status, "state")),
                status.has("warmupLeftMs")
                        ? JsonFields.wholeNumber(status, "warmupLeftMs", 0, Long.MAX_VALUE)
                        : 0);
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
        return json.has("born") ? JsonFields.wholeNumber(json, "born", 0, Long.MAX_VALUE) : 0;
    }
}
