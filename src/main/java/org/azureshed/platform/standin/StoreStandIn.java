package org.azureshed.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * In-memory test double of the platform's store. It can inject faults: refused calls, lost
 * responses, a dropped change history and calls that are never answered.
 *
 * <pre>{@code
 * try (StoreStandIn store = new StoreStandIn("127.0.0.1", 0)) {
 *     store.put("config", "main", configuration);
 * }
 * }</pre>
 */
public final class StoreStandIn implements AutoCloseable {
    private static final String PREFIX = "/objects/";
    private static final int NO_BODY = -1;

    /** Time in ms after which {@link Fault#LATE_WRITES} carries out a write. */
    public static final long LATE_MILLIS = 3_000;

    private final ObjectMapper json = new ObjectMapper();
    private final HttpServer server;
    private final Map<String, Map<String, ObjectNode>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;
    private long era = 1;
    private long oldestRevision = 100;
    private int calls;
    private final AtomicInteger heldWrites = new AtomicInteger();
    private volatile Fault fault = Fault.NONE;
    private volatile Predicate<String> affectedAddresses = address -> true;

    private record Event(long revision, String kind, ObjectNode object, boolean removed) {}

    /** Fault that the store injects. */
    public enum Fault {
        /** No fault: calls are carried out and answered. */
        NONE,
        /** Answers 503 without carrying out the call. */
        BUSY,
        /** Answers 429 without carrying out the call. */
        RATE_LIMITED,
        /** Carries out writes, but closes the connection of every call without a response. */
        LOST_ANSWERS,
        /**
         * Carries out writes {@link #LATE_MILLIS} later, if their condition still holds then, and
         * answers no call.
         */
        LATE_WRITES,
        /**
         * Carries out calls, but loses their answers, also those to watches that wait already. The
         * connections stay open and carry nothing further, even after the fault.
         */
        SWALLOWED_ANSWERS,
        /** Neither carries out nor answers calls. */
        SILENT
    }

    /**
     * Starts the store.
     *
     * @param host address to listen on
     * @param port port to listen on; 0 for any free port
     * @throws IOException if it cannot listen
     */
    public StoreStandIn(String host, int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, port), 0);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext(PREFIX, this::handle);
        server.start();
    }

    /**
     * Returns the address that the store listens on.
     *
     * @return IP address and port
     */
    public String address() {
        InetSocketAddress bound = server.getAddress();
        return bound.getAddress().getHostAddress() + ':' + bound.getPort();
    }

    /**
     * Returns the port that the store listens on.
     *
     * @return a port from 1 to 65535
     */
    public int port() {
        return server.getAddress().getPort();
    }

    /**
     * Sets the fault to inject.
     *
     * @param next fault from now on; {@link Fault#NONE} ends the current one
     */
    public void fault(Fault next) {
        fault = next;
    }

    /**
     * Restricts the fault to calls that arrive at some addresses. Initially it applies to all.
     * Callers on one machine have the same address, so that each of them needs one of the store's
     * own.
     *
     * @param addresses tests the IP address that a call arrived at; true if the fault applies to it
     */
    public void limitFaultTo(Predicate<String> addresses) {
        affectedAddresses = addresses;
    }

    /**
     * Creates or replaces an object directly, without an HTTP call.
     *
     * @param kind kind of the object
     * @param name name, unique within the kind
     * @param content value of the object's field {@code specification}
     */
    public synchronized void put(String kind, String name, JsonNode content) {
        store(kind, name, content);
    }

    /**
     * Creates or replaces an object with content that other writers may leave behind, for example
     * numbers or nesting beyond a parser's limits.
     *
     * @param kind kind of the object
     * @param name name, unique within the kind
     * @param content JSON text of the object's field {@code specification}, sent as it is
     */
    public void putRaw(String kind, String name, String content) {
        put(kind, name, json.getNodeFactory().rawValueNode(new RawValue(content)));
    }

    /**
     * Returns the content of an object.
     *
     * @param kind kind of the object
     * @param name name, unique within the kind
     * @return value of the object's field {@code specification}, or empty if there is no object
     */
    public Optional<JsonNode> content(String kind, String name) {
        return Optional.ofNullable(find(kind, name)).map(object -> object.path("specification"));
    }

    /** Drops the change history. Watches from an earlier revision get 410 and must list again. */
    public synchronized void dropHistory() {
        revision++;
        oldestRevision = revision;
        history.clear();
        notifyAll();
    }

    /**
     * A copy of the store's content.
     *
     * @param objects objects by kind and name
     * @param revision revision of the store at the time of the copy
     */
    public record Copy(Map<String, Map<String, ObjectNode>> objects, long revision) {}

    /**
     * Copies the content.
     *
     * @return the objects and the revision
     */
    public synchronized Copy copy() {
        Map<String, Map<String, ObjectNode>> objects = new HashMap<>();
        kinds.forEach((kind, byName) -> objects.put(kind, new TreeMap<>(byName)));
        return new Copy(objects, revision);
    }

    /**
     * Restores a copy and begins a new era: what was written since is lost, and revisions go back
     * and are given out again. Watches from a later revision get 410.
     *
     * @param copy content to restore
     */
    public synchronized void restore(Copy copy) {
        kinds.clear();
        copy.objects().forEach((kind, byName) -> kinds.put(kind, new TreeMap<>(byName)));
        revision = copy.revision();
        oldestRevision = revision;
        history.clear();
        era++;
        notifyAll();
    }

    /**
     * Counts the HTTP calls received since the start, including those that a fault affected.
     *
     * @return the number of calls
     */
    public synchronized int calls() {
        return calls;
    }

    /**
     * Counts the writes that {@link Fault#LATE_WRITES} has not carried out yet.
     *
     * @return the number of writes
     */
    public int heldWrites() {
        return heldWrites.get();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        Fault activeFault = faultFor(exchange);
        byte[] body = exchange.getRequestBody().readAllBytes();
        synchronized (this) {
            calls++;
        }
        switch (activeFault) {
            case BUSY -> answer(exchange, 503, null);
            case RATE_LIMITED -> answer(exchange, 429, null);
            case SILENT -> awaitFaultEnd();
            case LOST_ANSWERS -> {
                boolean write = !exchange.getRequestMethod().equals("GET");
                if (write) {
                    applyWrite(exchange, body);
                }
                exchange.close();
            }
            case LATE_WRITES -> {
                if (!exchange.getRequestMethod().equals("GET")) {
                    heldWrites.incrementAndGet();
                    sleep(LATE_MILLIS);
                    applyWrite(exchange, body);
                    heldWrites.decrementAndGet();
                }
                exchange.close();
            }
            default -> serve(exchange, body);
        }
    }

    private Fault faultFor(HttpExchange exchange) {
        String address = exchange.getLocalAddress().getAddress().getHostAddress();
        return affectedAddresses.test(address) ? fault : Fault.NONE;
    }

    private void awaitFaultEnd() {
        while (fault == Fault.SILENT && !Thread.currentThread().isInterrupted()) {
            sleep(20);
        }
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(HttpExchange exchange, byte[] body) throws IOException {
        if (!exchange.getRequestMethod().equals("GET")) {
            Reply reply = applyWrite(exchange, body);
            answer(exchange, reply.status(), reply.body());
            return;
        }
        Map<String, String> query = query(exchange);
        String[] parts = parts(exchange);
        if (parts.length > 1) {
            ObjectNode object = find(parts[0], parts[1]);
            answer(exchange, object == null ? 404 : 200, object);
        } else if (query.containsKey("watch")) {
            long after = Long.parseLong(query.get("watch"));
            long wait = Long.parseLong(query.getOrDefault("waitMs", "0"));
            ObjectNode events = watch(parts[0], after, wait);
            answer(exchange, events == null ? 410 : 200, events);
        } else {
            answer(exchange, 200, list(parts[0], query.getOrDefault("after", "")));
        }
    }

    private record Reply(int status, ObjectNode body) {}

    private Reply applyWrite(HttpExchange exchange, byte[] body) throws IOException {
        String[] parts = parts(exchange);
        JsonNode requestJson = json.readTree(body);
        JsonNode content = requestJson.path("specification");
        synchronized (this) {
            if (exchange.getRequestMethod().equals("POST")) {
                String name = requestJson.path("metadata").path("name").asText();
                ObjectNode existing = find(parts[0], name);
                return existing != null
                        ? new Reply(409, existing)
                        : new Reply(201, store(parts[0], name, content));
            }
            ObjectNode existing = find(parts[0], parts[1]);
            if (existing == null) {
                return new Reply(404, null);
            }
            JsonNode expected = requestJson.path("metadata").path("revision");
            long actual = existing.path("metadata").path("revision").asLong();
            if (!expected.isMissingNode() && expected.asLong() != actual) {
                return new Reply(409, existing);
            }
            return existing.path("specification").equals(content)
                    ? new Reply(200, existing)
                    : new Reply(200, store(parts[0], parts[1], content));
        }
    }

    private synchronized ObjectNode store(String kind, String name, JsonNode content) {
        revision++;
        ObjectNode object = json.createObjectNode();
        object.putObject("metadata").put("name", name).put("revision", revision);
        object.set("specification", content);
        kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, object);
        history.add(new Event(revision, kind, object, false));
        notifyAll();
        return object;
    }

    private synchronized long era() {
        return era;
    }

    private synchronized ObjectNode find(String kind, String name) {
        return kinds.getOrDefault(kind, Map.of()).get(name);
    }

    private synchronized ObjectNode list(String kind, String after) {
        ObjectNode page = json.createObjectNode();
        ArrayNode items = page.putArray("items");
        kinds.getOrDefault(kind, Map.of())
                .forEach(
                        (name, object) -> {
                            if (name.compareTo(after) > 0) {
                                items.add(object);
                            }
                        });
        return page.put("hasMore", false).put("at", revision);
    }

    private synchronized ObjectNode watch(String kind, long after, long waitMillis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        while (true) {
            if (after < oldestRevision || after > revision) {
                return null;
            }
            ObjectNode result = json.createObjectNode();
            ArrayNode events = result.putArray("events");
            for (Event event : history) {
                if (event.kind().equals(kind) && event.revision() > after) {
                    events.addObject()
                            .put("removed", event.removed())
                            .set("object", event.object());
                }
            }
            long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (!events.isEmpty() || left <= 0) {
                return result.put("at", revision);
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
        }
    }

    private static String[] parts(HttpExchange exchange) {
        return exchange.getRequestURI().getPath().substring(PREFIX.length()).split("/");
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        if (text != null) {
            for (String pair : text.split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return query;
    }

    private void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
        if (faultFor(exchange) == Fault.SWALLOWED_ANSWERS) {
            // An exchange that is neither answered nor closed keeps its connection open and mute.
            return;
        }
        byte[] bytes = body == null ? new byte[0] : json.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", Long.toString(era()));
        exchange.sendResponseHeaders(status, bytes.length == 0 ? NO_BODY : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }
}
