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
 * Measures how long a change of the preset takes until it is in force on every node, and the
 * platform calls that it costs, beside clients that each read everything from the platform.
 *
 * <p>The spread counts from when the platform returns a watch of the benchmark with the change,
 * until the status of the last node shows the activation, polled every 25 ms. The total counts from
 * the time in the index, which the command takes before its first write. Calls are those for
 * objects of presets, the command's own included and the benchmark's own excluded; they are counted
 * until {@link #SETTLE_MILLIS} after the change is in force everywhere.
 */
public final class ConfigBench {
    private static final List<Integer> SIZES = List.of(3, 6, 9);
    private static final int ZONES = 3;
    private static final int RELAYS_PER_ZONE = 3;
    private static final int CHANGES = 10;
    private static final int ROUTES = 1_000;
    private static final int ORGANISATIONS = 2_000;
    private static final Duration BOUND = Duration.ofSeconds(60);
    private static final long SETTLE_MILLIS = 1_000;
    private static final Path FILES = Path.of("target", "bench-config");
    private static final List<String> PRESETS = List.of("day", "night");

    /** The call by which the benchmark learns when a change is accepted. */
    private static final Calls OWN_WATCH = new Calls(0, 0, 1);

    private final ObjectMapper json = new ObjectMapper();

    private ConfigBench() {}

    /**
     * Waits for an activation and returns when it was in force, in milliseconds since the epoch.
     */
    private interface Receiver {
        long awaitActivation(long number) throws Exception;
    }

    /** Calls to the platform for objects of presets. */
    private record Calls(double reads, double writes, double watches) {
        Calls minus(Calls other) {
            return new Calls(reads - other.reads, writes - other.writes, watches - other.watches);
        }

        Calls plus(Calls other) {
            return new Calls(reads + other.reads, writes + other.writes, watches + other.watches);
        }

        Calls dividedBy(double divisor) {
            return new Calls(reads / divisor, writes / divisor, watches / divisor);
        }
    }

    /** Figures of one size. */
    private record Figures(
            String kind, int nodes, Histogram spread, Histogram total, Calls perChange) {
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
                    spread.getTotalCount(),
                    spread.getValueAtPercentile(50),
                    spread.getMaxValue(),
                    total.getValueAtPercentile(50),
                    total.getMaxValue(),
                    perChange.reads(),
                    perChange.writes(),
                    perChange.watches());
        }

        void printSlope(Figures from) {
            double added = nodes - from.nodes;
            Calls calls = perChange.minus(from.perChange).dividedBy(added);
            System.out.printf(
                    Locale.ROOT,
                    "kind=%s slope_from=%d slope_to=%d spread_p50_ms_per_node=%.1f"
                            + " reads_per_node=%.2f writes_per_node=%.2f watches_per_node=%.2f%n",
                    kind,
                    from.nodes,
                    nodes,
                    (spread.getValueAtPercentile(50) - from.spread.getValueAtPercentile(50))
                            / added,
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
        Files.createDirectories(FILES);
        List<Figures> fleets = new ArrayList<>();
        List<Figures> baselines = new ArrayList<>();
        for (int size : SIZES) {
            fleets.add(fleet(size));
            fleets.getLast().print();
            baselines.add(baseline(size));
            baselines.getLast().print();
        }
        for (List<Figures> figures : List.of(fleets, baselines)) {
            for (int i = 1; i < figures.size(); i++) {
                figures.get(i).printSlope(figures.get(i - 1));
            }
            figures.getLast().printSlope(figures.getFirst());
        }
    }

    private Figures fleet(int size) throws Exception {
        try (ProcessFleet fleet = new ProcessFleet("config-" + size)) {
            List<ProcessFleet.Node> nodes = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                nodes.add(fleet.startNode("node-" + i, "zone-" + zone(i)));
            }
            for (ProcessFleet.Node node : nodes) {
                fleet.awaitStarted(node);
            }
            putPresets(fleet);
            List<Receiver> receivers = new ArrayList<>();
            for (ProcessFleet.Node node : nodes) {
                receivers.add(
                        number -> {
                            fleet.awaitActivation(node, number, BOUND);
                            return System.currentTimeMillis();
                        });
            }
            return measure("fleet", fleet, receivers);
        }
    }

    private Figures baseline(int size) throws Exception {
        List<PlainClient> clients = new ArrayList<>();
        try (ProcessFleet fleet = new ProcessFleet("config-plain-" + size)) {
            putPresets(fleet);
            List<Receiver> receivers = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                PlainClient client = new PlainClient(fleet.platformUri(""));
                clients.add(client);
                receivers.add(number -> client.awaitActivation(number, BOUND));
            }
            return measure("baseline", fleet, receivers);
        } finally {
            for (PlainClient client : clients) {
                client.close();
            }
        }
    }

    /** One node in each zone, all others in the first one, where only three are relays. */
    private static int zone(int node) {
        return node < ZONES ? node : 0;
    }

    private static int relays(int nodes) {
        int others = Math.min(nodes, ZONES) - 1;
        return others + Math.min(RELAYS_PER_ZONE, nodes - others);
    }

    private void putPresets(ProcessFleet fleet) throws Exception {
        for (String preset : PRESETS) {
            put(fleet, preset, 0);
        }
        use(fleet, PRESETS.getFirst());
    }

    private Figures measure(String kind, ProcessFleet fleet, List<Receiver> receivers)
            throws Exception {
        Histogram spread = new Histogram(2);
        Histogram total = new Histogram(2);
        try (ExecutorService waiters = Executors.newVirtualThreadPerTaskExecutor()) {
            awaitAll(waiters, receivers, 1);
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            Calls sum = new Calls(0, 0, 0);
            for (int change = 0; change < CHANGES; change++) {
                long activation = change + 2;
                URI watch = watch(fleet);
                Calls before = calls(fleet);
                Future<Long> accepted = waiters.submit(() -> acceptedMillis(fleet, watch));
                Future<Long> last = waiters.submit(() -> awaitAll(waiters, receivers, activation));
                change(fleet, change);
                long end = last.get();
                TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
                sum = sum.plus(calls(fleet).minus(before)).minus(OWN_WATCH);
                spread.recordValue(Math.max(0, end - accepted.get()));
                total.recordValue(Math.max(0, end - startMillis(fleet, activation)));
            }
            Calls perChange = sum.dividedBy(CHANGES);
            return new Figures(kind, receivers.size(), spread, total, perChange);
        }
    }

    private static URI watch(ProcessFleet fleet) throws Exception {
        long version = fleet.json(fleet.platformUri("/objects/preset")).get("version").asLong();
        String call = "/watch/preset?since=" + version + "&timeoutMs=" + BOUND.toMillis();
        return fleet.platformUri(call);
    }

    private static long acceptedMillis(ProcessFleet fleet, URI watch) throws Exception {
        fleet.json(watch, BOUND);
        return System.currentTimeMillis();
    }

    private static long awaitAll(ExecutorService waiters, List<Receiver> receivers, long number)
            throws Exception {
        List<Callable<Long>> waits = new ArrayList<>();
        receivers.forEach(receiver -> waits.add(() -> receiver.awaitActivation(number)));
        long last = 0;
        for (Future<Long> wait : waiters.invokeAll(waits)) {
            last = Math.max(last, wait.get());
        }
        return last;
    }

    /** Edits the preset in force and puts the other one in force in turn. */
    private void change(ProcessFleet fleet, int change) throws Exception {
        String inForce = PRESETS.get((change + 1) / 2 % 2);
        if (change % 2 == 0) {
            put(fleet, inForce, change + 1);
        } else {
            use(fleet, inForce);
        }
    }

    private static void use(ProcessFleet fleet, String preset) throws Exception {
        fleet.command("preset", "use", preset, "--reason", "bench");
    }

    private void put(ProcessFleet fleet, String preset, int edit) throws Exception {
        Path file = FILES.resolve(preset + ".json");
        ObjectNode content = (ObjectNode) json.readTree(Path.of("examples/ordinary.json").toFile());
        content.put("name", preset);
        ArrayNode routes = (ArrayNode) content.get("routes");
        JsonNode first = routes.get(0);
        for (int i = 0; i < ROUTES; i++) {
            ObjectNode route = first.deepCopy();
            routes.add(route.put("id", "route-" + i).put("path", "/books/" + i));
        }
        ObjectNode organisations = (ObjectNode) content.get("organisations");
        for (int i = 0; i < ORGANISATIONS; i++) {
            organisations
                    .putObject("organisation-" + i)
                    .put("requestsPerSecond", 100 + (i == 0 ? edit : 0))
                    .put("concurrent", 20);
        }
        json.writeValue(file.toFile(), content);
        fleet.command("preset", "put", file.toString(), "--reason", "bench");
    }

    private static long startMillis(ProcessFleet fleet, long activation) throws Exception {
        for (JsonNode change :
                fleet.json(fleet.platformUri("/objects/preset/index")).get("changes")) {
            if (change.get("activationNumber").asLong() == activation) {
                return change.get("timeMillis").asLong();
            }
        }
        throw new IllegalStateException("the index does not show activation " + activation);
    }

    private static Calls calls(ProcessFleet fleet) throws Exception {
        Calls sum = new Calls(0, 0, 0);
        for (String kind : List.of("preset", "chunk", "change")) {
            JsonNode stats = fleet.json(fleet.platformUri("/stats/" + kind));
            sum =
                    sum.plus(
                            new Calls(
                                    stats.get("get").asInt() + stats.get("list").asInt(),
                                    stats.get("put").asInt() + stats.get("delete").asInt(),
                                    stats.get("watch").asInt()));
        }
        return sum;
    }
}
