package org.azureshed.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, with its faults by the address of the caller. */
final class StoreParty {
    /** How the store fails. */
    enum Fault {
        /** Answers 503 without carrying out the call. */
        BUSY,
        /** Neither carries out nor answers calls. */
        SILENT,
        /** Carries out calls and closes the connection without an answer. */
        LOSES_ANSWERS,
        /** Carries out calls; the connection stays open and carries nothing further. */
        SWALLOWS_ANSWERS,
        /** Carries out writes some seconds later if their condition still holds; no answer. */
        LATE_WRITES,
        /** Answers after a second. */
        SLOW
    }

    static final long LATE_WRITE_MILLIS = 3_000;
    private static final long SLOW_MILLIS = 1_000;

    /** Age of what a read that allows it may see. */
    private static final long STALE_MILLIS = 2_000;

    private record Event(long revision, long atMillis, String kind, ObjectNode object) {}

    private record Watch(String kind, long after, Connection connection) {}

    private final ObjectMapper json = new ObjectMapper();
    private final VirtualTime time;
    private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<String, Fault> faults = new HashMap<>();
    private long revision = 100;
    private long oldestRevision = 100;

    StoreParty(VirtualTime time, SimulatedNetwork network) {
        this.time = time;
        network.bind(Addresses.socket(Addresses.STORE, Addresses.STORE_PORT), Connection::new);
    }

    /** Sets the fault for the calls of one address; null ends it. */
    void fault(String ip, Fault fault) {
        if (fault == null) {
            faults.remove(ip);
        } else {
            faults.put(ip, fault);
        }
    }

    /** Drops the history of changes; watches from an earlier revision get 410. */
    void dropHistory() {
        revision++;
        oldestRevision = revision;
        history.clear();
        answerWatches();
    }

    /** Stores an object without a call. */
    void put(String kind, String name, JsonNode content) {
        store(kind, name, content);
    }

    private ObjectNode store(String kind, String name, JsonNode content) {
        revision++;
        ObjectNode object = json.createObjectNode();
        object.putObject("metadata").put("name", name).put("revision", revision);
        object.set("specification", content);
        kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, object);
        history.add(new Event(revision, time.millis(), kind, object));
        answerWatches();
        return object;
    }

    private void answerWatches() {
        for (Watch watch : List.copyOf(watches)) {
            if (watch.after() < oldestRevision || !eventsAfter(watch).isEmpty()) {
                answer(watch);
            }
        }
    }

    private void answer(Watch watch) {
        if (watches.remove(watch)) {
            if (watch.after() < oldestRevision) {
                watch.connection().answer(410, null);
            } else {
                ObjectNode page = json.createObjectNode();
                ArrayNode events = page.putArray("events");
                eventsAfter(watch)
                        .forEach(
                                event ->
                                        events.addObject()
                                                .put("removed", false)
                                                .set("object", event.object()));
                watch.connection().answer(200, page.put("at", revision));
            }
        }
    }

    private List<Event> eventsAfter(Watch watch) {
        return history.stream()
                .filter(event -> event.kind().equals(watch.kind()))
                .filter(event -> event.revision() > watch.after())
                .toList();
    }

    private ObjectNode find(String kind, String name) {
        return kinds.getOrDefault(kind, new TreeMap<>()).get(name);
    }

    private ObjectNode list(String kind, String after, boolean stale) {
        ObjectNode page = json.createObjectNode();
        ArrayNode items = page.putArray("items");
        kinds.getOrDefault(kind, new TreeMap<>())
                .tailMap(after, false)
                .forEach((name, object) -> items.add(stale ? former(kind, name, object) : object));
        return page.put("hasMore", false).put("at", revision);
    }

    /** The object as it was some time ago if the history shows it, otherwise as it is. */
    private ObjectNode former(String kind, String name, ObjectNode object) {
        ObjectNode former = object;
        for (Event event : history) {
            boolean same =
                    event.kind().equals(kind)
                            && event.object().path("metadata").path("name").asText().equals(name);
            if (same && event.atMillis() <= time.millis() - STALE_MILLIS) {
                former = event.object();
            }
        }
        return former;
    }

    /** A connection of a node. */
    private final class Connection implements ConnectionEnd.Listener {
        private final ConnectionEnd end;
        private final HttpReader reader;
        private boolean mute;

        Connection(ConnectionEnd end) {
            this.end = end;
            this.reader = new HttpReader(false, head -> {}, this::handle);
        }

        @Override
        public void readable() {
            for (byte[] bytes = end.read(); bytes != null; bytes = end.read()) {
                reader.read(bytes);
            }
            if (end.isAtEnd()) {
                watches.removeIf(watch -> watch.connection() == this);
                end.close();
            }
        }

        private Fault fault() {
            return faults.get(end.remoteIp());
        }

        private void handle(HttpReader.Message request) {
            boolean write = !request.startLine().startsWith("GET ");
            Fault fault = fault();
            if (fault == Fault.SILENT) {
                mute = true;
            } else if (fault == Fault.BUSY) {
                answer(503, null);
            } else if (fault == Fault.LATE_WRITES && write) {
                mute = true;
                time.afterMillis(LATE_WRITE_MILLIS, () -> apply(request));
            } else if (fault == Fault.SLOW) {
                time.afterMillis(SLOW_MILLIS, () -> serve(request, write));
            } else {
                serve(request, write);
            }
        }

        private void serve(HttpReader.Message request, boolean write) {
            if (write) {
                apply(request);
                return;
            }
            String[] target = request.startLine().split(" ")[1].split("\\?");
            String[] parts = target[0].substring("/objects/".length()).split("/");
            Map<String, String> query = query(target.length > 1 ? target[1] : "");
            if (parts.length > 1) {
                ObjectNode object = find(parts[0], parts[1]);
                answer(object == null ? 404 : 200, object);
            } else if (query.containsKey("watch")) {
                watch(parts[0], query);
            } else {
                boolean stale = query.containsKey("allowStale");
                answer(200, list(parts[0], query.getOrDefault("after", ""), stale));
            }
        }

        private void watch(String kind, Map<String, String> query) {
            Watch watch = new Watch(kind, Long.parseLong(query.get("watch")), this);
            watches.add(watch);
            time.afterMillis(
                    Long.parseLong(query.getOrDefault("waitMs", "0")),
                    () -> StoreParty.this.answer(watch));
            answerWatches();
        }

        private void apply(HttpReader.Message request) {
            String[] line = request.startLine().split(" ");
            String[] parts = line[1].substring("/objects/".length()).split("/");
            JsonNode body = parse(request.body());
            boolean create = line[0].equals("POST");
            String name = create ? body.path("metadata").path("name").asText() : parts[1];
            ObjectNode existing = find(parts[0], name);
            JsonNode expected = body.path("metadata").path("revision");
            JsonNode content = body.path("specification");
            if (create && existing != null) {
                answer(409, existing);
            } else if (!create && existing == null) {
                answer(404, null);
            } else if (!create
                    && !expected.isMissingNode()
                    && expected.asLong() != existing.path("metadata").path("revision").asLong()) {
                answer(409, existing);
            } else if (!create && existing.path("specification").equals(content)) {
                answer(200, existing);
            } else {
                answer(create ? 201 : 200, store(parts[0], name, content));
            }
        }

        private void answer(int status, JsonNode body) {
            Fault fault = fault();
            if (fault == Fault.LOSES_ANSWERS) {
                end.close();
            } else if (fault == Fault.SWALLOWS_ANSWERS || mute) {
                mute = true;
            } else {
                String text = body == null ? "" : body.toString();
                end.write(HttpText.bytes(HttpText.response(status, "", text)));
            }
        }
    }

    private JsonNode parse(String text) {
        try {
            return json.readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return query;
    }
}
