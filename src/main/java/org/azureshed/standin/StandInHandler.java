package org.azureshed.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** HTTP API of the platform stand-in: runs calls on the store and injects faults. */
final class StandInHandler extends Handler.Abstract {
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final long MAX_WATCH_MILLIS = 60_000;
    private static final byte[] EMPTY = {};

    private final ObjectMapper json = new ObjectMapper();
    private final StandInStore store = new StandInStore();
    private final StandInFaults faults = new StandInFaults();

    /** Number of calls by operation, and of conflicts and rate-limited calls. */
    private final Map<String, LongAdder> calls = new ConcurrentHashMap<>();

    /** Number of calls by the kind of their objects and by operation. */
    private final Map<String, Map<String, LongAdder>> callsByKind = new ConcurrentHashMap<>();

    /** A response; its version is empty unless the response is about a single object. */
    private record Answer(int status, Optional<Long> version, byte[] body) {
        static Answer of(int status) {
            return new Answer(status, Optional.empty(), EMPTY);
        }

        static Answer of(int status, String text) {
            return new Answer(status, Optional.empty(), text.getBytes());
        }
    }

    /** Makes the handler close the connection without a response. */
    private static final class NoAnswer extends QuietException.Exception {
        NoAnswer(String message) {
            super(message);
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback)
            throws IOException, InterruptedException {
        try {
            send(answer(request), response, callback);
        } catch (NoAnswer e) {
            request.getConnectionMetaData().getConnection().getEndPoint().close();
            callback.failed(e);
        } catch (IllegalArgumentException | JsonProcessingException e) {
            send(Answer.of(400, e.getMessage()), response, callback);
        }
        return true;
    }

    private static void send(Answer answer, Response response, Callback callback) {
        response.setStatus(answer.status());
        response.getHeaders().put("Platform-Time-Millis", System.currentTimeMillis());
        answer.version().ifPresent(v -> response.getHeaders().put("Platform-Version", v));
        response.write(true, ByteBuffer.wrap(answer.body()), callback);
    }

    private Answer answer(Request request) throws NoAnswer, IOException, InterruptedException {
        String[] path = Request.getPathInContext(request).substring(1).split("/", -1);
        String call = request.getMethod() + " " + path[0] + " " + path.length;
        return switch (call) {
            case "POST faults 1" -> changeFaults(body(request));
            case "GET stats 1" -> stats(calls);
            case "GET stats 2" -> stats(callsByKind.getOrDefault(path[1], Map.of()));
            case "GET objects 2" -> withFaults("list", path[1], false, () -> list(path[1]));
            case "GET objects 3" -> withFaults("get", path[1], false, () -> get(path[1], path[2]));
            case "PUT objects 3" -> {
                byte[] value = body(request);
                long ifVersion = numberParameter(request, "ifVersion");
                yield withFaults(
                        "put", path[1], true, () -> put(path[1], path[2], value, ifVersion));
            }
            case "DELETE objects 3" -> {
                long ifVersion = numberParameter(request, "ifVersion");
                yield withFaults(
                        "delete", path[1], true, () -> delete(path[1], path[2], ifVersion));
            }
            case "GET watch 2" -> {
                long since = numberParameter(request, "since");
                long timeout = Math.min(MAX_WATCH_MILLIS, numberParameter(request, "timeoutMs"));
                yield withFaults("watch", path[1], false, () -> watch(path[1], since, timeout));
            }
            default -> Answer.of(404, "no such call: " + call);
        };
    }

    private static byte[] body(Request request) throws IOException {
        try (var input = Content.Source.asInputStream(request)) {
            return input.readNBytes(MAX_VALUE_BYTES + 1);
        }
    }

    private static long numberParameter(Request request, String name) {
        Fields query = Request.extractQueryParameters(request);
        String value = query.getValue(name);
        if (value == null) {
            throw new IllegalArgumentException("the query parameter " + name + " is missing");
        }
        return Long.parseLong(value);
    }

    /** A call on the store, subject to the injected faults. */
    private interface StoreCall {
        Answer run() throws NoAnswer, IOException, InterruptedException;
    }

    /** Counts and delays a call, and runs it unless an outage or a rate limit prevents it. */
    private Answer withFaults(String operation, String kind, boolean write, StoreCall call)
            throws NoAnswer, IOException, InterruptedException {
        count(operation);
        count(callsByKind.computeIfAbsent(kind, absent -> new ConcurrentHashMap<>()), operation);
        faults.delay();
        if (faults.outage() == StandInFaults.Outage.CLOSE) {
            throw new NoAnswer("outage");
        }
        if (faults.outage() == StandInFaults.Outage.UNAVAILABLE) {
            return Answer.of(503, "outage");
        }
        if (!faults.allows(write)) {
            count("rateLimited");
            return Answer.of(429, write ? "too many writes" : "too many reads");
        }
        return call.run();
    }

    private void count(String counter) {
        count(calls, counter);
    }

    private static void count(Map<String, LongAdder> calls, String counter) {
        calls.computeIfAbsent(counter, absent -> new LongAdder()).increment();
    }

    private Answer get(String kind, String name) {
        return store.get(kind, name)
                .map(entry -> new Answer(200, Optional.of(entry.version()), entry.value()))
                .orElseGet(() -> new Answer(404, Optional.of(0L), EMPTY));
    }

    private Answer list(String kind) throws JsonProcessingException {
        return listAnswer(store.list(kind));
    }

    private Answer put(String kind, String name, byte[] value, long ifVersion) throws NoAnswer {
        if (value.length > MAX_VALUE_BYTES) {
            return Answer.of(413, "a value may have " + MAX_VALUE_BYTES + " bytes");
        }
        return writeAnswer(store.put(kind, name, value, ifVersion));
    }

    private Answer delete(String kind, String name, long ifVersion) throws NoAnswer {
        return writeAnswer(store.delete(kind, name, ifVersion));
    }

    private Answer writeAnswer(StandInStore.Write write) throws NoAnswer {
        if (write.entry().isEmpty()) {
            count("conflict");
            return new Answer(409, Optional.of(write.currentVersion()), EMPTY);
        }
        if (faults.tryLoseAnswer()) {
            throw new NoAnswer("lost answer");
        }
        return new Answer(200, Optional.of(write.currentVersion()), EMPTY);
    }

    private Answer watch(String kind, long since, long timeoutMillis)
            throws NoAnswer, IOException, InterruptedException {
        if (faults.dropWatches()) {
            throw new NoAnswer("dropped watch");
        }
        if (faults.staleWatches()) {
            Thread.sleep(timeoutMillis);
            return listAnswer(new StandInStore.Entries(since, List.of()));
        }
        Optional<StandInStore.Entries> changes = store.watch(kind, since, timeoutMillis);
        if (faults.dropWatches() || faults.outage() != StandInFaults.Outage.NONE) {
            throw new NoAnswer("dropped watch");
        }
        if (faults.staleWatches()) {
            return listAnswer(new StandInStore.Entries(since, List.of()));
        }
        return changes.isPresent() ? listAnswer(changes.get()) : Answer.of(410);
    }

    private Answer listAnswer(StandInStore.Entries entries) throws JsonProcessingException {
        return new Answer(200, Optional.empty(), json.writeValueAsBytes(entries));
    }

    private Answer changeFaults(byte[] body) throws IOException {
        StandInFaults.Change change = json.readValue(body, StandInFaults.Change.class);
        faults.apply(change);
        if (Boolean.TRUE.equals(change.snapshot())) {
            store.snapshot();
        }
        if (Boolean.TRUE.equals(change.restore())) {
            store.restore();
        }
        store.interruptWatches();
        return Answer.of(200);
    }

    private Answer stats(Map<String, LongAdder> calls) throws JsonProcessingException {
        Map<String, Long> counts = new TreeMap<>();
        for (String kind : List.of("get", "put", "delete", "list", "watch", "rateLimited")) {
            counts.put(kind, 0L);
        }
        calls.forEach((kind, count) -> counts.put(kind, count.sum()));
        return new Answer(200, Optional.empty(), json.writeValueAsBytes(counts));
    }
}
