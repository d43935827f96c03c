package org.azureshed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.azureshed.idempotency.IdempotencyKey;
import org.azureshed.idempotency.KeyRange;
import org.azureshed.node.FleetInProcess;
import org.azureshed.platform.HttpObjectStore;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against work that runs twice, and against a gap, when the owner of keys is lost. */
class KeyOwnerLossIT {
    /** Lease of 15 s, 10% and 1 s, and one renewal of 5 s, as the design page states them. */
    private static final long TAKEOVER_MILLIS = 15_000 * 110 / 100 + 1_000 + 5_000;

    private static final int KEYS = 12;
    private static final long PAUSE_MILLIS = 250;
    private static final String ROUTE = "stories";

    private final ObjectMapper json = new ObjectMapper();
    private FleetProcesses fleet;
    private FleetProcesses.Node first;
    private FleetProcesses.Node second;
    private final List<Integer> targetPorts = new ArrayList<>();
    private final Set<Integer> lost = new HashSet<>();

    /** How a keyed request ended; status 0 if it got no answer. */
    private record Answer(int status, String reason) {}

    @ParameterizedTest
    @ValueSource(strings = {"KILL", "STOP"})
    void keyOfALostOwnerStartsOnce(String signal) throws Exception {
        try (FleetProcesses processes = new FleetProcesses("keys-once-" + signal)) {
            start(processes);
            List<String> keys = new ArrayList<>();
            while (keys.size() < KEYS) {
                keys.add(lostKey());
                assertEquals(200, send(first, keys.getLast()).status());
            }
            // The owner is lost while these run, so their outcome is known to nobody.
            for (int i = 0; i < KEYS; i++) {
                String key = lostKey();
                keys.add(key);
                Thread.ofVirtual().start(() -> send(first, key));
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            lose(signal);
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * TAKEOVER_MILLIS);
            boolean continued = false;
            while (System.nanoTime() < end) {
                long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
                if (signal.equals("STOP") && !continued && left < TAKEOVER_MILLIS / 2) {
                    fleet.signal("CONT", "owner");
                    continued = true;
                }
                for (String key : keys) {
                    send(first, key);
                    send(second, key);
                }
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
            Map<String, Integer> starts = starts();
            for (String key : keys) {
                assertTrue(starts.getOrDefault(key, 0) <= 1, key + " in " + starts);
            }
            assertEquals(
                    KEYS, starts.keySet().stream().filter(keys.subList(0, KEYS)::contains).count());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"KILL", "STOP"})
    void newKeysAreAcceptedAfterLeaseAndMargin(String signal) throws Exception {
        try (FleetProcesses processes = new FleetProcesses("keys-new-" + signal)) {
            start(processes);
            lose(signal);
            long begin = System.nanoTime();
            Map<String, Integer> refusals = new TreeMap<>();
            for (FleetProcesses.Node entry : List.of(first, second)) {
                Answer answer = send(entry, lostKey());
                while (answer.status() != 200 && since(begin) <= 2 * TAKEOVER_MILLIS) {
                    refusals.merge(answer.reason(), 1, Integer::sum);
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                    answer = send(entry, lostKey());
                }
                System.out.printf(
                        "signal=%s entry=%s status=%d millis=%d refusals=%s%n",
                        signal, entry.id(), answer.status(), since(begin), refusals);
                assertEquals(200, answer.status(), refusals.toString());
                assertTrue(since(begin) <= TAKEOVER_MILLIS, since(begin) + " ms " + refusals);
            }
        }
    }

    private void start(FleetProcesses processes) throws Exception {
        fleet = processes;
        fleet.startPlatform();
        fleet.usePreset("ordinary");
        FleetProcesses.Node owner = fleet.newNode("owner");
        first = fleet.newNode("first");
        second = fleet.newNode("second");
        // The first node takes all ranges, so the others must start after it.
        fleet.startNode(owner);
        fleet.awaitReady(owner, "ordinary");
        fleet.startNode(first);
        fleet.startNode(second);
        for (FleetProcesses.Node node : List.of(first, second)) {
            fleet.awaitReady(node, "ordinary");
            int port = FleetInProcess.freePort();
            targetPorts.add(port);
            fleet.startTarget(node, "posting-" + node.id(), "posting", "--port", "" + port);
        }
        for (FleetProcesses.Node node : List.of(first, second)) {
            fleet.awaitReady(node, "ordinary", "posting-first", "posting-second");
        }
        FleetProcesses.await("successors", Duration.ofSeconds(40), this::bothSuccessorsNamed);
        // The notices and the reads that they cause take a few round trips.
        TimeUnit.SECONDS.sleep(2);
    }

    /** Reads who holds which range; true if each range of the owner names two successors. */
    private boolean bothSuccessorsNamed() throws Exception {
        lost.clear();
        boolean named = true;
        try (HttpObjectStore store = new HttpObjectStore(URI.create(fleet.platform()))) {
            for (var object : store.list(KeyRange.OBJECT_KIND).get().objects()) {
                JsonNode lease = json.readTree(object.value());
                if (lease.path("holder").path("node").asText().equals("owner")) {
                    lost.add(lease.path("range").intValue());
                    named &= lease.path("successors").size() == 2;
                }
            }
        }
        return named && !lost.isEmpty();
    }

    private void lose(String signal) throws Exception {
        assertTrue(bothSuccessorsNamed(), "the owner must still hold its ranges");
        if (signal.equals("KILL")) {
            fleet.kill("owner");
        } else {
            fleet.signal("STOP", "owner");
        }
    }

    /** A new key in a range of the owner. */
    private String lostKey() {
        while (true) {
            UUID random = UUID.randomUUID();
            long time = System.currentTimeMillis() << 16 | 0x7000;
            UUID key =
                    new UUID(
                            time | random.getMostSignificantBits() & 0xfff,
                            random.getLeastSignificantBits());
            if (lost.contains(KeyRange.of(new IdempotencyKey("", ROUTE, key)).number())) {
                return key.toString();
            }
        }
    }

    private Answer send(FleetProcesses.Node entry, String key) {
        HttpRequest request =
                HttpRequest.newBuilder(entry.uri("/stories?ms=300"))
                        .timeout(Duration.ofSeconds(12))
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString("story"))
                        .build();
        try {
            HttpResponse<String> answer =
                    fleet.client().send(request, HttpResponse.BodyHandlers.ofString());
            String reason = answer.headers().firstValue("Azureshed-Reason").orElse("");
            return new Answer(answer.statusCode(), reason.isEmpty() ? answer.body() : reason);
        } catch (IOException e) {
            return new Answer(0, e.toString());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static long since(long beginNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNanos);
    }

    /** Starts for each key over both targets. */
    private Map<String, Integer> starts() throws Exception {
        Map<String, Integer> starts = new TreeMap<>();
        for (int port : targetPorts) {
            URI uri = URI.create("http://127.0.0.1:" + port + "/starts");
            HttpRequest request = HttpRequest.newBuilder(uri).build();
            String body = fleet.client().send(request, HttpResponse.BodyHandlers.ofString()).body();
            json.readTree(body)
                    .properties()
                    .forEach(e -> starts.merge(e.getKey(), e.getValue().intValue(), Integer::sum));
        }
        return starts;
    }
}
