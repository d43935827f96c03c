import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store in memory: create, replace, read, list and watch, as the pages say. Keeps
 * the JSON of a specification as text.
 */
final class Store {
    /** How the store treats a write. */
    enum Treatment {
        DONE,
        /** Done after {@link #lateMs}, and never answered. */
        LATE
    }

    /** Chooses the treatment of a write. */
    interface Rule {
        Treatment of(String method, String kind, String name, String specification);
    }

    private record Item(String name, long revision, long created, String specification) {
        String json() {
            return "{\"metadata\":{\"name\":\""
                    + name
                    + "\",\"revision\":"
                    + revision
                    + ",\"createRev\":"
                    + created
                    + ",\"finalizers\":[],\"deleting\":false},\"specification\":"
                    + specification
                    + ",\"status\":null}";
        }
    }

    private record Event(String kind, Item item) {}

    private final Kit kit;
    private final HttpServer server;
    private final Map<String, TreeMap<String, Item>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;

    /** While set, every call gets 503, which says that nothing was done. */
    private volatile boolean down;

    volatile Rule rule = (method, kind, name, specification) -> Treatment.DONE;
    volatile long lateMs;
    volatile long lastDisturbedAt = -1_000_000;

    Store(Kit kit) throws IOException {
        this.kit = kit;
        server = HttpServer.create(new InetSocketAddress(kit.storeIp(), kit.storePort()), 0);
        server.setExecutor(Executors.newThreadPerTaskExecutor(Thread.ofVirtual().factory()));
        server.createContext("/objects/", this::handle);
        server.start();
    }

    /** Begins or ends an outage. */
    void down(boolean next) {
        if (down != next) {
            lastDisturbedAt = kit.now();
            kit.note("store: %s", next ? "down" : "back");
        }
        down = next;
    }

    synchronized void put(String kind, String name, String specification) {
        TreeMap<String, Item> items = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        Item before = items.get(name);
        revision++;
        Item item =
                new Item(name, revision, before == null ? revision : before.created, specification);
        items.put(name, item);
        history.add(new Event(kind, item));
        notifyAll();
    }

    synchronized String specification(String kind, String name) {
        Item item = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return item == null ? "" : item.specification;
    }

    private void handle(HttpExchange call) throws IOException {
        String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String[] parts =
                call.getRequestURI().getRawPath().substring("/objects/".length()).split("/");
        String kind = parts[0];
        String name = parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "";
        String method = call.getRequestMethod();
        if (down) {
            answer(call, 503, "");
            return;
        }
        if (method.equals("GET")) {
            get(call, kind, name);
            return;
        }
        String specification = specificationOf(body);
        String target = name.isEmpty() ? nameOf(body) : name;
        if (rule.of(method, kind, target, specification) == Treatment.LATE) {
            writeLate(method, kind, target, specification);
            return;
        }
        synchronized (this) {
            write(call, method, kind, target, specification);
        }
    }

    private void writeLate(String method, String kind, String name, String specification) {
        lastDisturbedAt = kit.now();
        kit.note("store: no answer to %s %s/%s %s", method, kind, name, specification);
        try {
            Thread.sleep(lateMs);
        } catch (InterruptedException e) {
            return;
        }
        synchronized (this) {
            boolean exists = !specification(kind, name).isEmpty();
            if (method.equals("PUT") == exists) {
                put(kind, name, specification);
                lastDisturbedAt = kit.now();
                kit.note("store: did %s %s/%s late", method, kind, name);
            }
        }
    }

    private void write(
            HttpExchange call, String method, String kind, String name, String specification)
            throws IOException {
        Item existing = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        if (method.equals("POST")) {
            if (existing != null) {
                answer(call, 409, existing.json());
                return;
            }
            put(kind, name, specification);
            answer(call, 201, kinds.get(kind).get(name).json());
        } else if (method.equals("PUT")) {
            if (existing == null) {
                answer(call, 404, "");
                return;
            }
            if (!existing.specification.equals(specification)) {
                put(kind, name, specification);
            }
            answer(call, 200, kinds.get(kind).get(name).json());
        } else {
            answer(call, 400, "");
        }
        kit.note("store: %s %s/%s %s", method, kind, name, specification);
    }

    private void get(HttpExchange call, String kind, String name) throws IOException {
        String query =
                call.getRequestURI().getRawQuery() == null
                        ? ""
                        : call.getRequestURI().getRawQuery();
        if (!name.isEmpty()) {
            Item item;
            synchronized (this) {
                item = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            }
            answer(call, item == null ? 404 : 200, item == null ? "" : item.json());
        } else if (query.contains("watch=")) {
            long from = Long.parseLong(parameter(query, "watch"));
            long wait = query.contains("waitMs=") ? Long.parseLong(parameter(query, "waitMs")) : 0;
            answer(call, 200, watch(kind, from, wait));
        } else {
            StringBuilder items = new StringBuilder();
            synchronized (this) {
                for (Item item : kinds.getOrDefault(kind, new TreeMap<>()).values()) {
                    items.append(items.isEmpty() ? "" : ",").append(item.json());
                }
                items.insert(0, "{\"items\":[")
                        .append("],\"hasMore\":false,\"at\":")
                        .append(revision)
                        .append('}');
            }
            answer(call, 200, items.toString());
        }
    }

    private synchronized String watch(String kind, long from, long waitMillis) {
        long end = kit.now() + waitMillis;
        while (true) {
            StringBuilder events = new StringBuilder();
            for (Event event : history) {
                if (event.kind.equals(kind) && event.item.revision > from) {
                    events.append(events.isEmpty() ? "" : ",")
                            .append("{\"removed\":false,\"object\":")
                            .append(event.item.json())
                            .append('}');
                }
            }
            long left = end - kit.now();
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + events + "],\"at\":" + revision + '}';
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                return "{\"events\":[],\"at\":" + from + '}';
            }
        }
    }

    private static String parameter(String query, String name) {
        Matcher value = Pattern.compile("(?:^|&)" + name + "=([^&]*)").matcher(query);
        return value.find() ? value.group(1) : "0";
    }

    /** The nodes write {"metadata":{...},"specification":{...}}, in this order. */
    private static String specificationOf(String body) {
        int at = body.indexOf("\"specification\":");
        return at < 0
                ? "null"
                : body.substring(at + "\"specification\":".length(), body.length() - 1).trim();
    }

    private static String nameOf(String body) {
        Matcher name = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"").matcher(body);
        return name.find() ? name.group(1) : "";
    }

    private static void answer(HttpExchange call, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            call.getResponseBody().write(bytes);
        }
        call.close();
    }
}
