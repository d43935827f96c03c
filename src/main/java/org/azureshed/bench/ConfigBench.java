package org.azureshed.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures how long a change of the preset takes until it is in force on every node, and how many
 * platform calls it causes. The baseline is a set of clients that each read everything from the
 * platform.
 *
 * <p>{@code spread_*_ms} is the propagation time: from when the platform answers the benchmark's
 * own watch with the change until the status of the last node, which is polled every 25 ms, shows
 * the activation. {@code total_*_ms} starts at the time recorded in the index, which the command
 * takes before its first write. The calls are those for objects of presets. They include the calls
 * of the command, exclude those of the benchmark, and are counted until {@link #SETTLE_MILLIS}
 * after the change is in force everywhere.
 */
public final class ConfigBench {
    private static final List<Integer> FLEET_SIZES = List.of(3, 6, 9);
    private static final int ZONES = 3;
    private static final int RELAYS_PER_ZONE = 3;
    private static final int CHANGES = 10;
    private static final int ROUTES = 1_000;
    private static final int ORGANISATIONS = 2_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final long SETTLE_MILLIS = 1_000;
    private static final Path PRESET_DIRECTORY = Path.of("target", "bench-config");
    private static final List<String> PRESET_NAMES = List.of("day", "night");

    /** The watch by which the benchmark learns when the platform has accepted a change. */
    private static final PlatformCalls OWN_CALLS = new PlatformCalls(0, 0, 1);

    private final ObjectMapper mapper = new ObjectMapper();

    private ConfigBench() {}

    /**
     * Waits until an activation is in force at one node or baseline client, and returns when this
     * was seen, in milliseconds since the epoch.
     */
    private interface ActivationWaiter {
        long awaitActivation(long activationNumber) throws Exception;
    }

    /** Numbers of platform calls for objects of presets, in total or per change or node. */
    private record PlatformCalls(double reads, double writes, double watches) {
        PlatformCalls minus(PlatformCalls other) {
            return new PlatformCalls(
                    reads - other.reads, writes - other.writes, watches - other.watches);
        }

        PlatformCalls plus(PlatformCalls other) {
            return new PlatformCalls(
                    reads + other.reads, writes + other.writes, watches + other.watches);
        }

        PlatformCalls dividedBy(double divisor) {
            return new PlatformCalls(reads / divisor, writes / divisor, watches / divisor);
        }
    }

    /**
     * Measurements of one fleet size.
     *
     * @param kind {@code fleet} or {@code baseline}
     * @param nodes number of nodes or baseline clients
     * @param propagation propagation times of the changes, in milliseconds
     * @param total times from the command to the last node, in milliseconds
     * @param callsPerChange platform calls per change
     */
    private record Result(
            String kind,
            int nodes,
            Histogram propagation,
            Histogram total,
            PlatformCalls callsPerChange) {
        void print() {
            System.out.printf(
                    Locale.ROOT,
                    "kind=%s nodes=%d relays=%d changes=%d spread_p50_ms=%d spread_max_ms=%d"
                            + " total_p50_ms=%d total_max_ms=%d"
                            + " reads_per_change=%.1f writes_per_change=%.1f"
                            + " watches_per_change=%.1f%n",
                    kind,
                    nodes,
                    kind.equals("fleet") ? relays(nodes) : 0,
                    propagation.getTotalCount(),
                    propagation.getValueAtPercentile(50),
                    propagation.getMaxValue(),
                    total.getValueAtPercentile(50),
                    total.getMaxValue(),
                    callsPerChange.reads(),
                    callsPerChange.writes(),
                    callsPerChange.watches());
        }

        void printSlope(Result smaller) {
            double addedNodes = nodes - smaller.nodes;
            PlatformCalls calls =
                    callsPerChange.minus(smaller.callsPerChange).dividedBy(addedNodes);
            System.out.printf(
                    Locale.ROOT,
                    "kind=%s slope_from=%d slope_to=%d spread_p50_ms_per_node=%.1f"
                            + " reads_per_node=%.2f writes_per_node=%.2f watches_per_node=%.2f%n",
                    kind,
                    smaller.nodes,
                    nodes,
                    (propagation.getValueAtPercentile(50)
                                    - smaller.propagation.getValueAtPercentile(50))
                            / addedNodes,
                    calls.reads(),
                    calls.writes(),
                    calls.watches());
        }
    }

    /**
     * Runs the measurement.
     *
     * @param args none
     * @throws Exception if a process or a change fails, or takes longer than 60 s
     */
    public static void main(String[] args) throws Exception {
        new ConfigBench().run();
    }

    private void run() throws Exception {
        Files.createDirectories(PRESET_DIRECTORY);
        List<Result> fleetResults = new ArrayList<>();
        List<Result> baselineResults = new ArrayList<>();
        for (int size : FLEET_SIZES) {
            fleetResults.add(measureFleet(size));
            fleetResults.getLast().print();
            baselineResults.add(measureBaseline(size));
            baselineResults.getLast().print();
        }
        for (List<Result> results : List.of(fleetResults, baselineResults)) {
            for (int i = 1; i < results.size(); i++) {
                results.get(i).printSlope(results.get(i - 1));
            }
            results.getLast().printSlope(results.getFirst());
        }
    }

    private Result measureFleet(int size) throws Exception {
        try (ProcessFleet fleet = new ProcessFleet("config-" + size)) {
            List<ProcessFleet.Node> nodes = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                nodes.add(fleet.startNode("node-" + i, "zone-" + zoneIndex(i)));
            }
            for (ProcessFleet.Node node : nodes) {
                fleet.awaitStarted(node);
            }
            putPresets(fleet);
            List<ActivationWaiter> waiters = new ArrayList<>();
            for (ProcessFleet.Node node : nodes) {
                waiters.add(
                        activationNumber -> {
                            fleet.awaitActivation(node, activationNumber, TIMEOUT);
                            return System.currentTimeMillis();
                        });
            }
            return measure("fleet", fleet, waiters);
        }
    }

    private Result measureBaseline(int size) throws Exception {
        List<DirectPresetClient> clients = new ArrayList<>();
        try (ProcessFleet fleet = new ProcessFleet("config-plain-" + size)) {
            putPresets(fleet);
            List<ActivationWaiter> waiters = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                DirectPresetClient client = new DirectPresetClient(fleet.platformUri(""));
                clients.add(client);
                waiters.add(activationNumber -> client.awaitActivation(activationNumber, TIMEOUT));
            }
            return measure("baseline", fleet, waiters);
        } finally {
            for (DirectPresetClient client : clients) {
                client.close();
            }
        }
    }

    /**
     * Zone of a node: one node in each of the other zones, all the rest in the first zone. A zone
     * has at most three relays; only relays watch the platform.
     */
    private static int zoneIndex(int node) {
        return node < ZONES ? node : 0;
    }

    private static int relays(int nodes) {
        int otherZoneNodes = Math.min(nodes, ZONES) - 1;
        return otherZoneNodes + Math.min(RELAYS_PER_ZONE, nodes - otherZoneNodes);
    }

    private void putPresets(ProcessFleet fleet) throws Exception {
        for (String preset : PRESET_NAMES) {
            putPreset(fleet, preset, 0);
        }
        usePreset(fleet, PRESET_NAMES.getFirst());
    }

    private Result measure(String kind, ProcessFleet fleet, List<ActivationWaiter> waiters)
            throws Exception {
        Histogram propagation = new Histogram(2);
        Histogram total = new Histogram(2);
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            awaitAll(executor, waiters, 1);
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            PlatformCalls sum = new PlatformCalls(0, 0, 0);
            for (int change = 0; change < CHANGES; change++) {
                long activationNumber = change + 2;
                URI watchUrl = watchUrl(fleet);
                PlatformCalls before = countCalls(fleet);
                Future<Long> accepted = executor.submit(() -> awaitAccepted(fleet, watchUrl));
                Future<Long> lastInForce =
                        executor.submit(() -> awaitAll(executor, waiters, activationNumber));
                applyChange(fleet, change);
                long inForceMillis = lastInForce.get();
                TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
                sum = sum.plus(countCalls(fleet).minus(before)).minus(OWN_CALLS);
                propagation.recordValue(Math.max(0, inForceMillis - accepted.get()));
                total.recordValue(
                        Math.max(0, inForceMillis - commandStartMillis(fleet, activationNumber)));
            }
            PlatformCalls callsPerChange = sum.dividedBy(CHANGES);
            return new Result(kind, waiters.size(), propagation, total, callsPerChange);
        }
    }

    private static URI watchUrl(ProcessFleet fleet) throws Exception {
        long version = fleet.readJson(fleet.platformUri("/objects/preset")).get("version").asLong();
        String path = "/watch/preset?since=" + version + "&timeoutMs=" + TIMEOUT.toMillis();
        return fleet.platformUri(path);
    }

    private static long awaitAccepted(ProcessFleet fleet, URI watchUrl) throws Exception {
        fleet.readJson(watchUrl, TIMEOUT);
        return System.currentTimeMillis();
    }

    private static long awaitAll(
            ExecutorService executor, List<ActivationWaiter> waiters, long activationNumber)
            throws Exception {
        List<Callable<Long>> tasks = new ArrayList<>();
        waiters.forEach(waiter -> tasks.add(() -> waiter.awaitActivation(activationNumber)));
        long lastInForce = 0;
        for (Future<Long> future : executor.invokeAll(tasks)) {
            lastInForce = Math.max(lastInForce, future.get());
        }
        return lastInForce;
    }

    /** Alternates: edits the preset in force, then puts the other preset in force. */
    private void applyChange(ProcessFleet fleet, int change) throws Exception {
        String preset = PRESET_NAMES.get((change + 1) / 2 % 2);
        if (change % 2 == 0) {
            putPreset(fleet, preset, change + 1);
        } else {
            usePreset(fleet, preset);
        }
    }

    private static void usePreset(ProcessFleet fleet, String preset) throws Exception {
        fleet.command("preset", "use", preset, "--reason", "bench");
    }

    private void putPreset(ProcessFleet fleet, String preset, int edit) throws Exception {
        Path file = PRESET_DIRECTORY.resolve(preset + ".json");
        ObjectNode contents =
                (ObjectNode) mapper.readTree(Path.of("examples/ordinary.json").toFile());
        contents.put("name", preset);
        ArrayNode routes = (ArrayNode) contents.get("routes");
        JsonNode templateRoute = routes.get(0);
        for (int i = 0; i < ROUTES; i++) {
            ObjectNode route = templateRoute.deepCopy();
            routes.add(route.put("id", "route-" + i).put("path", "/books/" + i));
        }
        ObjectNode organisations = (ObjectNode) contents.get("organisations");
        for (int i = 0; i < ORGANISATIONS; i++) {
            organisations
                    .putObject("organisation-" + i)
                    .put("requestsPerSecond", 100 + (i == 0 ? edit : 0))
                    .put("concurrent", 20);
        }
        mapper.writeValue(file.toFile(), contents);
        fleet.command("preset", "put", file.toString(), "--reason", "bench");
    }

    private static long commandStartMillis(ProcessFleet fleet, long activationNumber)
            throws Exception {
        for (JsonNode change :
                fleet.readJson(fleet.platformUri("/objects/preset/index")).get("changes")) {
            if (change.get("activationNumber").asLong() == activationNumber) {
                return change.get("timeMillis").asLong();
            }
        }
        throw new IllegalStateException(
                "the index has no change with activation number " + activationNumber);
    }

    private static PlatformCalls countCalls(ProcessFleet fleet) throws Exception {
        PlatformCalls sum = new PlatformCalls(0, 0, 0);
        for (String kind : List.of("preset", "chunk", "change")) {
            JsonNode stats = fleet.readJson(fleet.platformUri("/stats/" + kind));
            sum =
                    sum.plus(
                            new PlatformCalls(
                                    stats.get("get").asInt() + stats.get("list").asInt(),
                                    stats.get("put").asInt() + stats.get("delete").asInt(),
                                    stats.get("watch").asInt()));
        }
        return sum;
    }
}
