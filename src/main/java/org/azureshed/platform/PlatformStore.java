package org.azureshed.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.azureshed.sidecar.FleetStore;
import org.azureshed.traffic.ControlClient;

/** Non-blocking HTTP client of the platform's store. */
final class PlatformStore implements FleetStore {
    /** The store responds within milliseconds; a slower call counts as unanswered. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 1_500;

    private static final byte[] EMPTY_BODY = {};

    private final ObjectMapper json = new ObjectMapper();
    private final ControlClient client;
    private final String address;
    private final Consumer<String> onResult;

    /**
     * Creates a client.
     *
     * @param client HTTP client
     * @param address IP address and port of the store
     * @param onResult receives the simple class name of each call's {@link Result}, for metrics
     */
    PlatformStore(ControlClient client, String address, Consumer<String> onResult) {
        this.client = client;
        this.address = address;
        this.onResult = onResult;
    }

    @Override
    public void list(String kind, String after, boolean staleReadAllowed, Consumer<Result> done) {
        String query =
                (after.isEmpty() ? "" : "&after=" + urlEncode(after))
                        + (staleReadAllowed ? "&allowStale=1" : "");
        String path = path(kind) + (query.isEmpty() ? "" : "?" + query.substring(1));
        call("GET", path, EMPTY_BODY, RESPONSE_TIMEOUT_MILLIS, body -> page(kind, body), done);
    }

    @Override
    public void watch(String kind, long revision, long waitMillis, Consumer<Result> done) {
        String path = path(kind) + "?watch=" + revision + "&waitMs=" + waitMillis;
        call(
                "GET",
                path,
                EMPTY_BODY,
                waitMillis + RESPONSE_TIMEOUT_MILLIS,
                body -> events(kind, body),
                done);
    }

    @Override
    public void create(String kind, String name, JsonNode content, Consumer<Result> done) {
        byte[] body = bytes(name, content);
        call(
                "POST",
                path(kind),
                body,
                RESPONSE_TIMEOUT_MILLIS,
                answer -> singleEntry(kind, answer),
                done);
    }

    @Override
    public void replace(String kind, String name, JsonNode content, Consumer<Result> done) {
        byte[] body = bytes(name, content);
        call(
                "PUT",
                path(kind, name),
                body,
                RESPONSE_TIMEOUT_MILLIS,
                answer -> singleEntry(kind, answer),
                done);
    }

    /** Decodes the response body of a successful call. */
    private interface BodyReader {
        Result read(JsonNode body);
    }

    private void call(
            String method,
            String path,
            byte[] body,
            long timeoutMillis,
            BodyReader reader,
            Consumer<Result> done) {
        client.send(
                address,
                method,
                path,
                body,
                timeoutMillis,
                answer -> {
                    Result result = result(answer, reader);
                    onResult.accept(result.getClass().getSimpleName());
                    done.accept(result);
                });
    }

    private Result result(ControlClient.Result answer, BodyReader reader) {
        return switch (answer) {
            case ControlClient.Result.NoResponse none -> new Result.NoAnswer(none.cause());
            case ControlClient.Result.Response response -> {
                try {
                    yield response(response, reader);
                } catch (IOException e) {
                    yield new Result.NoAnswer("malformed response: " + e.getMessage());
                }
            }
        };
    }

    private Result response(ControlClient.Result.Response response, BodyReader reader)
            throws IOException {
        return switch (response.status()) {
            case 200, 201 -> reader.read(json.readTree(response.body()));
            case 404 -> new Result.Missing();
            case 409 -> new Result.Conflict();
            case 410 -> new Result.HistoryGone();
            case 429, 503 -> new Result.Refused("status " + response.status());
            default -> new Result.NoAnswer("status " + response.status());
        };
    }

    private static Result singleEntry(String kind, JsonNode body) {
        StoredEntry entry = entry(kind, body, false);
        return new Result.Done(List.of(entry), entry.revision(), false);
    }

    private static Result page(String kind, JsonNode body) {
        List<StoredEntry> entries = new ArrayList<>();
        body.path("items").forEach(item -> entries.add(entry(kind, item, false)));
        return new Result.Done(entries, body.path("at").asLong(), body.path("hasMore").asBoolean());
    }

    private static Result events(String kind, JsonNode body) {
        List<StoredEntry> entries = new ArrayList<>();
        for (JsonNode event : body.path("events")) {
            boolean removed = event.path("removed").asBoolean();
            entries.add(entry(kind, event.path("object"), removed));
        }
        return new Result.Done(entries, body.path("at").asLong(), false);
    }

    private static StoredEntry entry(String kind, JsonNode object, boolean removed) {
        JsonNode metadata = object.path("metadata");
        return new StoredEntry(
                kind,
                metadata.path("name").asText(),
                metadata.path("revision").asLong(),
                removed,
                object.path("specification"));
    }

    private byte[] bytes(String name, JsonNode content) {
        ObjectNode object = json.createObjectNode();
        object.putObject("metadata").put("name", name);
        object.set("specification", content);
        try {
            return json.writeValueAsBytes(object);
        } catch (IOException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }

    private static String path(String kind) {
        return "/objects/" + kind;
    }

    private static String path(String kind, String name) {
        return path(kind) + '/' + urlEncode(name);
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
