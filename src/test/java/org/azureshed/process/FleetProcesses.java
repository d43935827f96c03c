package org.azureshed.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.azureshed.node.FleetInProcess;

/**
 * Runs a platform stand-in, nodes and sample targets as separate processes on the loopback
 * interface.
 */
final class FleetProcesses implements AutoCloseable {
    private static final String JAR = System.getProperty("azureshed.jar", "target/azureshed.jar");
    private static final Path LOG_DIRECTORY = Path.of("target", "process-logs");
    private static final List<String> JVM_FLAGS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-Xms32m",
                    "-Xmx112m",
                    "-Xss256k",
                    "-XX:MaxDirectMemorySize=32m",
                    "-XX:ReservedCodeCacheSize=32m",
                    "-XX:MaxMetaspaceSize=80m",
                    "-XX:TieredStopAtLevel=1",
                    "--sun-misc-unsafe-memory-access=allow");
    private static final long START_TIMEOUT_SECONDS = 40;
    private static final long EXIT_TIMEOUT_SECONDS = 10;
    private static final long POLL_INTERVAL_MILLIS = 50;

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final ObjectMapper json = new ObjectMapper();
    private final String logPrefix;
    private final Map<String, Process> processes = new HashMap<>();
    private final int platformPort = FleetInProcess.freePort();

    /** Node id and listening ports of a node process. */
    record Node(String id, int entryPort, int hostPort, int controlPort, int adminPort) {
        URI uri(String path) {
            return URI.create("http://127.0.0.1:" + entryPort).resolve(path);
        }

        URI adminUri(String path) {
            return URI.create("http://127.0.0.1:" + adminPort).resolve(path);
        }
    }

    FleetProcesses(String logPrefix) throws Exception {
        this.logPrefix = logPrefix;
        Files.createDirectories(LOG_DIRECTORY);
    }

    /** Starts the platform stand-in. A restarted one has the same port and no data. */
    void startPlatform() throws Exception {
        startProcess("platform", "platform-standin", "--port", "" + platformPort);
        await(
                "the platform",
                Duration.ofSeconds(START_TIMEOUT_SECONDS),
                () -> getStatusCode(statsUri()) == 200);
    }

    /** Stores a preset from {@code examples} in the platform and activates it. */
    void usePreset(String preset) throws Exception {
        String file = "examples/" + preset + ".json";
        runCommand("preset", "put", file, "--platform", platform(), "--reason", "test");
        runCommand("preset", "use", preset, "--platform", platform(), "--reason", "test");
    }

    Node newNode(String id) throws IOException {
        return new Node(
                id,
                FleetInProcess.freePort(),
                FleetInProcess.freePort(),
                FleetInProcess.freePort(),
                FleetInProcess.freePort());
    }

    /** Starts a node that advertises the ports of relays, so that a test can cut paths to it. */
    void startNodeBehindRelays(
            Node node, FaultInjectingRelay hostRelay, FaultInjectingRelay controlRelay)
            throws Exception {
        startNode(
                node,
                List.of(
                        "--advertised-host-port",
                        "" + hostRelay.port(),
                        "--advertised-control-port",
                        "" + controlRelay.port()));
    }

    /** Starts a node process without waiting until the node is ready. */
    void startNode(Node node, Node... seeds) throws Exception {
        List<String> extraOptions = new ArrayList<>();
        for (Node seed : seeds) {
            extraOptions.addAll(List.of("--seed", "127.0.0.1:" + seed.controlPort()));
        }
        startNode(node, extraOptions);
    }

    private void startNode(Node node, List<String> extraOptions) throws Exception {
        List<String> arguments = new ArrayList<>(List.of("node", "--node-id", node.id()));
        arguments.addAll(List.of("--region", "region-1", "--zone", "zone-1"));
        arguments.addAll(List.of("--address", "127.0.0.1", "--platform", platform()));
        arguments.addAll(List.of("--entry-port", "" + node.entryPort(), "--host-port"));
        arguments.addAll(List.of("" + node.hostPort(), "--control-port", "" + node.controlPort()));
        arguments.addAll(List.of("--admin-port", "" + node.adminPort()));
        arguments.addAll(extraOptions);
        startProcess(node.id(), arguments.toArray(String[]::new));
    }

    void startTarget(Node node, String id, String service, String... extraOptions)
            throws Exception {
        List<String> arguments =
                new ArrayList<>(List.of("sample-target", "--id", id, "--service", service));
        arguments.addAll(List.of("--admin", node.adminUri("").toString()));
        arguments.addAll(List.of(extraOptions));
        startProcess(id, arguments.toArray(String[]::new));
    }

    /** Waits until the preset is active on the node and the node lists the targets as ready. */
    void awaitReady(Node node, String preset, String... targets) throws Exception {
        await(
                node.id() + " with " + preset + " and " + List.of(targets),
                Duration.ofSeconds(START_TIMEOUT_SECONDS),
                () -> {
                    JsonNode status = status(node);
                    boolean ready = status.path("preset").asText().equals(preset);
                    for (String target : targets) {
                        ready &= targetState(status, target).equals("ready");
                    }
                    return ready;
                });
    }

    JsonNode status(Node node) throws Exception {
        HttpRequest request = request(node.adminUri("/v1/status"));
        return json.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    private static String targetState(JsonNode status, String target) {
        for (JsonNode service : status.path("services")) {
            for (JsonNode entry : service) {
                if (entry.path("target").asText().equals(target)) {
                    return entry.path("state").asText();
                }
            }
        }
        return "";
    }

    HttpClient client() {
        return client;
    }

    Process process(String id) {
        return processes.get(id);
    }

    /** Sends a signal to the process of this fleet that has the given id. */
    void signal(String signal, String id) throws Exception {
        String pid = "" + processes.get(id).pid();
        Process kill = new ProcessBuilder("kill", "-" + signal, pid).inheritIO().start();
        if (!kill.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS) || kill.exitValue() != 0) {
            throw new AssertionError("kill -" + signal + " failed for " + id);
        }
    }

    /** Kills a process (SIGKILL) and waits until it has exited. */
    void kill(String id) throws InterruptedException {
        Process process = processes.get(id).destroyForcibly();
        if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError(id + " did not exit after SIGKILL");
        }
    }

    /** Changes the injected faults of the platform stand-in. */
    void setFaults(String faultsJson) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(platform() + "/faults"))
                        .POST(HttpRequest.BodyPublishers.ofString(faultsJson))
                        .build();
        int status = client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        if (status != 200) {
            throw new AssertionError(
                    "the platform stand-in answered the fault change with status " + status);
        }
    }

    /** Runs a command of the program; fails unless it exits with code 0. */
    void runCommand(String... arguments) throws Exception {
        Process process = startProcess("command", arguments);
        if (!process.waitFor(START_TIMEOUT_SECONDS, TimeUnit.SECONDS) || process.exitValue() != 0) {
            throw new AssertionError(List.of(arguments) + " failed; see " + logFile("command"));
        }
    }

    /** Waits until a condition is met; an I/O error counts as not met. */
    static void await(String description, Duration timeout, Callable<Boolean> condition)
            throws Exception {
        long end = System.nanoTime() + timeout.toNanos();
        while (!isMet(condition)) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("not within " + timeout + ": " + description);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private static boolean isMet(Callable<Boolean> condition) throws Exception {
        try {
            return condition.call();
        } catch (IOException e) {
            return false;
        }
    }

    String platform() {
        return "http://127.0.0.1:" + platformPort;
    }

    private URI statsUri() {
        return URI.create(platform() + "/stats");
    }

    int getStatusCode(URI uri) throws Exception {
        return client.send(request(uri), HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private static HttpRequest request(URI uri) {
        return HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(5)).build();
    }

    private Process startProcess(String id, String... arguments) throws IOException {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        List<String> command = new ArrayList<>(List.of(java.toString()));
        command.addAll(JVM_FLAGS);
        command.addAll(List.of("-jar", JAR));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(id).toFile()));
        builder.environment().put("MALLOC_ARENA_MAX", "2");
        Process process = builder.start();
        processes.put(id, process);
        return process;
    }

    private Path logFile(String id) {
        return LOG_DIRECTORY.resolve(logPrefix + "-" + id + ".log");
    }

    @Override
    public void close() {
        client.shutdownNow();
        processes.values().forEach(Process::destroyForcibly);
        // All have been killed; unlike waitFor, join also waits for them on an interrupt, so that
        // no process outlives the test.
        processes.values().forEach(process -> process.onExit().join());
    }
}
