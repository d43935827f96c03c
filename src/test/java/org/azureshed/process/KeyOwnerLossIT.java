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

/**
 * Kills or freezes the node that owns the ranges of idempotency keys. Guards against keyed requests
 * that run twice because the new owner does not know of the first run, and against keys that stay
 * unavailable for longer than the takeover may take.
 */
class KeyOwnerLossIT {
    /** Lease of 15 s, 10% and 1 s of margin, and one renewal of 5 s, as the design states. */
    private static final long MAX_TAKEOVER_MILLIS = 15_000 * 110 / 100 + 1_000 + 5_000;

    private static final int KEYS_PER_GROUP = 12;
    private static final long INTERVAL_MILLIS = 250;
    private static final String ROUTE = "stories";

    private final ObjectMapper json = new ObjectMapper();
    private FleetProcesses fleet;
    private FleetProcesses.Node firstEntry;
    private FleetProcesses.Node secondEntry;
    private final List<Integer> targetPorts = new ArrayList<>();
    private final Set<Integer> ownerRanges = new HashSet<>();

    /** Result of a keyed request; the status is 0 if no response was received. */
    private record Result(int status, String reason) {}

    @ParameterizedTest
    @ValueSource(strings = {"KILL", "STOP"})
    void keyOfFailedOwnerStartsAtMostOnce(String signal) throws Exception {
        try (FleetProcesses processes = new FleetProcesses("keys-once-" + signal)) {
            start(processes);
            List<String> keys = new ArrayList<>();
            while (keys.size() < KEYS_PER_GROUP) {
                keys.add(newOwnerKey());
                assertEquals(200, send(firstEntry, keys.getLast()).status());
            }
            // These run while the owner fails, so that no other node knows their outcome.
            for (int i = 0; i < KEYS_PER_GROUP; i++) {
                String key = newOwnerKey();
                keys.add(key);
                Thread.ofVirtual().start(() -> send(firstEntry, key));
            }
            TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
            stopOwner(signal);
            long endNanos =
                    System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * MAX_TAKEOVER_MILLIS);
            boolean resumed = false;
            while (System.nanoTime() < endNanos) {
                long remainingMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
                if (signal.equals("STOP")
                        && !resumed
                        && remainingMillis < MAX_TAKEOVER_MILLIS / 2) {
                    fleet.signal("CONT", "owner");
                    resumed = true;
                }
                for (String key : keys) {
                    send(firstEntry, key);
                    send(secondEntry, key);
                }
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
            }
            Map<String, Integer> startsByKey = startsByKey();
            for (String key : keys) {
                assertTrue(startsByKey.getOrDefault(key, 0) <= 1, key + " in " + startsByKey);
            }
            assertEquals(
                    KEYS_PER_GROUP,
                    startsByKey.keySet().stream()
                            .filter(keys.subList(0, KEYS_PER_GROUP)::contains)
                            .count());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"KILL", "STOP"})
    void newKeysAreAcceptedAfterLeaseAndMargin(String signal) throws Exception {
        try (FleetProcesses processes = new FleetProcesses("keys-new-" + signal)) {
            start(processes);
            stopOwner(signal);
            long beginNanos = System.nanoTime();
            Map<String, Integer> refusals = new TreeMap<>();
            for (FleetProcesses.Node entry : List.of(firstEntry, secondEntry)) {
                Result result = send(entry, newOwnerKey());
                while (result.status() != 200
                        && millisSince(beginNanos) <= 2 * MAX_TAKEOVER_MILLIS) {
                    refusals.merge(result.reason(), 1, Integer::sum);
                    TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
                    result = send(entry, newOwnerKey());
                }
                System.out.printf(
                        "signal=%s entry=%s status=%d millis=%d refusals=%s%n",
                        signal, entry.id(), result.status(), millisSince(beginNanos), refusals);
                assertEquals(200, result.status(), refusals.toString());
                assertTrue(
                        millisSince(beginNanos) <= MAX_TAKEOVER_MILLIS,
                        millisSince(beginNanos) + " ms " + refusals);
            }
        }
    }

    private void start(FleetProcesses processes) throws Exception {
        fleet = processes;
        fleet.startPlatform();
        fleet.usePreset("ordinary");
        FleetProcesses.Node owner = fleet.newNode("owner");
        firstEntry = fleet.newNode("first");
        secondEntry = fleet.newNode("second");
        // The node that starts first acquires all ranges, so the others must start after it.
        fleet.startNode(owner);
        fleet.awaitReady(owner, "ordinary");
        fleet.startNode(firstEntry);
        fleet.startNode(secondEntry);
        for (FleetProcesses.Node node : List.of(firstEntry, secondEntry)) {
            fleet.awaitReady(node, "ordinary");
            int port = FleetInProcess.freePort();
            targetPorts.add(port);
            fleet.startTarget(node, "posting-" + node.id(), "posting", "--port", "" + port);
        }
        for (FleetProcesses.Node node : List.of(firstEntry, secondEntry)) {
            fleet.awaitReady(node, "ordinary", "posting-first", "posting-second");
        }
        FleetProcesses.await("successors", Duration.ofSeconds(40), this::updateOwnerRanges);
        // The successor notices, and the reads that they trigger, take a few round trips.
        TimeUnit.SECONDS.sleep(2);
    }

    /** Updates the ranges of the owner; true if it has any and each lists two successors. */
    private boolean updateOwnerRanges() throws Exception {
        ownerRanges.clear();
        boolean complete = true;
        try (HttpObjectStore store = new HttpObjectStore(URI.create(fleet.platform()))) {
            for (var object : store.list(KeyRange.OBJECT_KIND).get().objects()) {
                JsonNode lease = json.readTree(object.value());
                if (lease.path("holder").path("node").asText().equals("owner")) {
                    ownerRanges.add(lease.path("range").intValue());
                    complete &= lease.path("successors").size() == 2;
                }
            }
        }
        return complete && !ownerRanges.isEmpty();
    }

    private void stopOwner(String signal) throws Exception {
        assertTrue(updateOwnerRanges(), "the owner does not hold ranges with two successors each");
        if (signal.equals("KILL")) {
            fleet.kill("owner");
        } else {
            fleet.signal("STOP", "owner");
        }
    }

    /** Returns a new key in one of the ranges of the owner. */
    private String newOwnerKey() {
        while (true) {
            UUID random = UUID.randomUUID();
            long time = System.currentTimeMillis() << 16 | 0x7000;
            UUID key =
                    new UUID(
                            time | random.getMostSignificantBits() & 0xfff,
                            random.getLeastSignificantBits());
            if (ownerRanges.contains(KeyRange.of(new IdempotencyKey("", ROUTE, key)).number())) {
                return key.toString();
            }
        }
    }

    private Result send(FleetProcesses.Node entry, String key) {
        HttpRequest request =
                HttpRequest.newBuilder(entry.uri("/stories?ms=300"))
                        .timeout(Duration.ofSeconds(12))
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString("story"))
                        .build();
        try {
            HttpResponse<String> response =
                    fleet.client().send(request, HttpResponse.BodyHandlers.ofString());
            String reason = response.headers().firstValue("Azureshed-Reason").orElse("");
            return new Result(response.statusCode(), reason.isEmpty() ? response.body() : reason);
        } catch (IOException e) {
            return new Result(0, e.toString());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static long millisSince(long beginNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNanos);
    }

    /** Returns for each key how often both targets together have started its request. */
    private Map<String, Integer> startsByKey() throws Exception {
        Map<String, Integer> startsByKey = new TreeMap<>();
        for (int port : targetPorts) {
            URI uri = URI.create("http://127.0.0.1:" + port + "/starts");
            HttpRequest request = HttpRequest.newBuilder(uri).build();
            String body = fleet.client().send(request, HttpResponse.BodyHandlers.ofString()).body();
            json.readTree(body)
                    .properties()
                    .forEach(
                            e ->
                                    startsByKey.merge(
                                            e.getKey(), e.getValue().intValue(), Integer::sum));
        }
        return startsByKey;
    }
}
