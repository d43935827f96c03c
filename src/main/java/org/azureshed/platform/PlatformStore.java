package org.azureshed.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.azureshed.json.JsonFields;
import org.azureshed.json.JsonSlice;
import org.azureshed.model.Endpoint;
import org.azureshed.sidecar.FleetStore;
import org.azureshed.traffic.ControlClient;

/** Non-blocking HTTP client of the platform's store. */
final class PlatformStore implements FleetStore {
    /** The store responds within milliseconds; a slower call counts as unanswered. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 1_500;

    private static final int MAX_CAUSE_LENGTH = 120;
    private static final byte[] EMPTY_BODY = {};

    private final ObjectMapper json = new ObjectMapper();
    private final ControlClient client;
    private static final String ERA_HEADER = "Store-Era";

    private final Endpoint address;
    private final Consumer<String> onResult;
    private LongPredicate isCurrentEra = era -> true;

    /**
     * Creates a client.
     *
     * @param client HTTP client
     * @param address endpoint of the store
     * @param onResult receives the simple class name of each call's {@link Result}, for metrics
     */
    PlatformStore(ControlClient client, Endpoint address, Consumer<String> onResult) {
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
    public void read(String kind, String name, Consumer<Result> done) {
        String path = path(kind, name);
        call("GET", path, EMPTY_BODY, RESPONSE_TIMEOUT_MILLIS, body -> object(kind, body), done);
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
        byte[] body = bytes(name, ANY_REVISION, content);
        call("POST", path(kind), body, RESPONSE_TIMEOUT_MILLIS, text -> object(kind, text), done);
    }

    @Override
    public void replace(
            String kind, String name, long revision, JsonNode content, Consumer<Result> done) {
        byte[] body = bytes(name, revision, content);
        String path = path(kind, name);
        call("PUT", path, body, RESPONSE_TIMEOUT_MILLIS, text -> object(kind, text), done);
    }

    @Override
    public void onEra(LongPredicate isCurrent) {
        isCurrentEra = isCurrent;
    }

    @Override
    public void dropIdleConnections() {
        client.dropIdleConnections(address);
    }

    /** Decodes the response body of a successful call. */
    private interface BodyReader {
        Result read(byte[] body) throws IOException;
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
                String era = response.headers().get(ERA_HEADER);
                if (era != null && !isCurrentEra(era)) {
                    yield new Result.NoAnswer("answer of an earlier era");
                }
                try {
                    yield response(response, reader);
                } catch (IOException e) {
                    yield new Result.NoAnswer("malformed response: " + shorten(e.getMessage()));
                }
            }
        };
    }

    private boolean isCurrentEra(String era) {
        try {
            return isCurrentEra.test(Long.parseLong(era.trim()));
        } catch (NumberFormatException e) {
            // Taken as an answer without an era; a malformed one must not stop the node.
            return true;
        }
    }

    private Result response(ControlClient.Result.Response response, BodyReader reader)
            throws IOException {
        return switch (response.status()) {
            case 200, 201 -> reader.read(response.body());
            case 404 -> new Result.Missing();
            case 409 -> conflict(response, reader);
            case 410 -> new Result.HistoryGone();
            case 429, 503 -> new Result.Refused("status " + response.status());
            default -> new Result.NoAnswer("status " + response.status());
        };
    }

    private static Result conflict(ControlClient.Result.Response response, BodyReader reader) {
        try {
            return reader.read(response.body()) instanceof Result.Done done
                    ? new Result.Conflict(done.entries().stream().findFirst())
                    : new Result.Conflict(Optional.empty());
        } catch (IOException e) {
            // The caller reads the object, and then learns what is wrong with it.
            return new Result.Conflict(Optional.empty());
        }
    }

    Result object(String kind, byte[] body) throws IOException {
        Entries read = new Entries(kind);
        read.add(JsonSlice.of(body), false);
        return read.done(0, Optional.empty());
    }

    Result page(String kind, byte[] body) throws IOException {
        JsonSlice page = JsonSlice.of(body);
        Entries read = new Entries(kind);
        for (JsonSlice item : member(page, "items").elements()) {
            read.add(item, false);
        }
        boolean more = page.member("hasMore").isPresent() && flag(page, "hasMore");
        return read.done(
                revision(page),
                more && !read.lastName.isEmpty() ? Optional.of(read.lastName) : Optional.empty());
    }

    Result events(String kind, byte[] body) throws IOException {
        JsonSlice page = JsonSlice.of(body);
        Entries read = new Entries(kind);
        for (JsonSlice event : member(page, "events").elements()) {
            read.addEvent(event);
        }
        return read.done(revision(page), Optional.empty());
    }

    /** Objects of one response, each decoded on its own. */
    private final class Entries {
        private final String kind;
        private final List<StoredEntry> readable = new ArrayList<>();
        private final List<UnreadableEntry> unreadable = new ArrayList<>();

        /** Name of the last object whose name could be read. */
        private String lastName = "";

        Entries(String kind) {
            this.kind = kind;
        }

        void addEvent(JsonSlice event) {
            try {
                add(
                        member(event, "object"),
                        event.member("removed").isPresent() && flag(event, "removed"));
            } catch (IOException e) {
                unreadable.add(
                        new UnreadableEntry(kind, "", ANY_REVISION, shorten(e.getMessage())));
            }
        }

        void add(JsonSlice object, boolean removed) {
            String name = "";
            long revision = ANY_REVISION;
            try {
                JsonNode metadata = member(object, "metadata").parse(json);
                name = JsonFields.text(metadata, "name");
                lastName = name;
                revision = JsonFields.wholeNumber(metadata, "revision", 0, Long.MAX_VALUE);
                JsonNode content =
                        removed
                                ? MissingNode.getInstance()
                                : member(object, "specification").parse(json);
                readable.add(new StoredEntry(kind, name, revision, removed, content));
            } catch (IOException | IllegalArgumentException e) {
                unreadable.add(new UnreadableEntry(kind, name, revision, shorten(e.getMessage())));
            }
        }

        Result done(long revision, Optional<String> next) {
            return new Result.Done(readable, unreadable, revision, next);
        }
    }

    private static JsonSlice member(JsonSlice object, String name) throws IOException {
        return object.member(name).orElseThrow(() -> new IOException("no field " + name));
    }

    private boolean flag(JsonSlice object, String name) throws IOException {
        return member(object, name).parse(json).asBoolean();
    }

    private long revision(JsonSlice page) throws IOException {
        JsonNode revision = member(page, "at").parse(json);
        if (!revision.canConvertToLong()) {
            throw new IOException("the revision is not a whole number");
        }
        return revision.longValue();
    }

    /** Cuts a parser's message, which may quote the document, to a length fit for the log. */
    private static String shorten(String message) {
        String text = String.valueOf(message);
        int lineEnd = text.indexOf('\n');
        return text.substring(0, Math.min(lineEnd < 0 ? text.length() : lineEnd, MAX_CAUSE_LENGTH));
    }

    private byte[] bytes(String name, long revision, JsonNode content) {
        ObjectNode object = json.createObjectNode();
        ObjectNode metadata = object.putObject("metadata").put("name", name);
        if (revision != ANY_REVISION) {
            metadata.put("revision", revision);
        }
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
