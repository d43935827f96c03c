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

/** A fleet of separate processes on loopback: platform stand-in, nodes and sample targets. */
final class FleetProcesses implements AutoCloseable {
    private static final String JAR = System.getProperty("azureshed.jar", "target/azureshed.jar");
    private static final Path LOGS = Path.of("target", "process-logs");
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
    private static final long START_SECONDS = 40;
    private static final long EXIT_SECONDS = 10;
    private static final long POLL_MILLIS = 50;

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final ObjectMapper json = new ObjectMapper();
    private final String name;
    private final Map<String, Process> processes = new HashMap<>();
    private final int platformPort = FleetInProcess.freePort();

    /** A node process and its ports. */
    record Node(String id, int entry, int host, int control, int admin) {
        URI uri(String path) {
            return URI.create("http://127.0.0.1:" + entry).resolve(path);
        }

        URI adminUri(String path) {
            return URI.create("http://127.0.0.1:" + admin).resolve(path);
        }
    }

    FleetProcesses(String name) throws Exception {
        this.name = name;
        Files.createDirectories(LOGS);
    }

    /** Starts the platform stand-in, also again on the same port; it comes back empty. */
    void startPlatform() throws Exception {
        start("platform", "platform-standin", "--port", "" + platformPort);
        await("the platform", Duration.ofSeconds(START_SECONDS), () -> get(stats()) == 200);
    }

    /** Puts the examples in the platform and one of them in force. */
    void usePreset(String preset) throws Exception {
        String file = "examples/" + preset + ".json";
        run("preset", "put", file, "--platform", platform(), "--reason", "test");
        run("preset", "use", preset, "--platform", platform(), "--reason", "test");
    }

    Node newNode(String id) throws IOException {
        return new Node(
                id,
                FleetInProcess.freePort(),
                FleetInProcess.freePort(),
                FleetInProcess.freePort(),
                FleetInProcess.freePort());
    }

    /** Starts a node that others reach through relays, so that paths to it can be cut. */
    void startBehind(Node node, CuttableRelay host, CuttableRelay control) throws Exception {
        startNode(
                node,
                List.of(
                        "--advertised-host-port",
                        "" + host.port(),
                        "--advertised-control-port",
                        "" + control.port()));
    }

    /** Starts a node; it need not be ready when this returns. */
    void startNode(Node node, Node... seeds) throws Exception {
        List<String> more = new ArrayList<>();
        for (Node seed : seeds) {
            more.addAll(List.of("--seed", "127.0.0.1:" + seed.control()));
        }
        startNode(node, more);
    }

    private void startNode(Node node, List<String> more) throws Exception {
        List<String> arguments = new ArrayList<>(List.of("node", "--node-id", node.id()));
        arguments.addAll(List.of("--region", "region-1", "--zone", "zone-1"));
        arguments.addAll(List.of("--address", "127.0.0.1", "--platform", platform()));
        arguments.addAll(List.of("--entry-port", "" + node.entry(), "--host-port"));
        arguments.addAll(List.of("" + node.host(), "--control-port", "" + node.control()));
        arguments.addAll(List.of("--admin-port", "" + node.admin()));
        arguments.addAll(more);
        start(node.id(), arguments.toArray(String[]::new));
    }

    void startTarget(Node node, String id, String service, String... more) throws Exception {
        List<String> arguments =
                new ArrayList<>(List.of("sample-target", "--id", id, "--service", service));
        arguments.addAll(List.of("--admin", node.adminUri("").toString()));
        arguments.addAll(List.of(more));
        start(id, arguments.toArray(String[]::new));
    }

    /** Waits until a node has a preset in force and knows the targets as ready. */
    void awaitReady(Node node, String preset, String... targets) throws Exception {
        await(
                node.id() + " with " + preset + " and " + List.of(targets),
                Duration.ofSeconds(START_SECONDS),
                () -> {
                    JsonNode status = status(node);
                    boolean ready = status.path("preset").asText().equals(preset);
                    for (String target : targets) {
                        ready &= state(status, target).equals("ready");
                    }
                    return ready;
                });
    }

    JsonNode status(Node node) throws Exception {
        HttpRequest request = request(node.adminUri("/v1/status"));
        return json.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    private static String state(JsonNode status, String target) {
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

    /** Sends a signal to one process of this fleet by its id. */
    void signal(String signal, String id) throws Exception {
        String pid = "" + processes.get(id).pid();
        Process kill = new ProcessBuilder("kill", "-" + signal, pid).inheritIO().start();
        if (!kill.waitFor(EXIT_SECONDS, TimeUnit.SECONDS) || kill.exitValue() != 0) {
            throw new AssertionError("kill -" + signal + " failed for " + id);
        }
    }

    /** Ends a process at once and waits for its end. */
    void kill(String id) throws InterruptedException {
        Process process = processes.get(id).destroyForcibly();
        if (!process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError(id + " did not end");
        }
    }

    /** Changes the faults of the platform stand-in. */
    void faults(String change) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(platform() + "/faults"))
                        .POST(HttpRequest.BodyPublishers.ofString(change))
                        .build();
        int status = client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        if (status != 200) {
            throw new AssertionError("the stand-in answered " + status);
        }
    }

    /** Runs a command of the program to its end. */
    void run(String... arguments) throws Exception {
        Process process = start("command", arguments);
        if (!process.waitFor(START_SECONDS, TimeUnit.SECONDS) || process.exitValue() != 0) {
            throw new AssertionError(List.of(arguments) + " failed; see " + log("command"));
        }
    }

    /** Waits for a condition; an I/O error counts as not met. */
    static void await(String what, Duration bound, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + bound.toNanos();
        while (!met(condition)) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("not within " + bound + ": " + what);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private static boolean met(Callable<Boolean> condition) throws Exception {
        try {
            return condition.call();
        } catch (IOException e) {
            return false;
        }
    }

    String platform() {
        return "http://127.0.0.1:" + platformPort;
    }

    private URI stats() {
        return URI.create(platform() + "/stats");
    }

    int get(URI uri) throws Exception {
        return client.send(request(uri), HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private static HttpRequest request(URI uri) {
        return HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(5)).build();
    }

    private Process start(String id, String... arguments) throws IOException {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        List<String> command = new ArrayList<>(List.of(java.toString()));
        command.addAll(JVM_FLAGS);
        command.addAll(List.of("-jar", JAR));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(id).toFile()));
        builder.environment().put("MALLOC_ARENA_MAX", "2");
        Process process = builder.start();
        processes.put(id, process);
        return process;
    }

    private Path log(String id) {
        return LOGS.resolve(name + "-" + id + ".log");
    }

    @Override
    public void close() {
        client.shutdownNow();
        processes.values().forEach(Process::destroyForcibly);
        // An interrupt must not leave processes behind; they have been killed above.
        processes.values().forEach(process -> process.onExit().join());
    }
}
