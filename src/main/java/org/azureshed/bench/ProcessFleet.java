package org.azureshed.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A fleet of separate processes on loopback: platform stand-in, nodes and sample targets. All are
 * killed by their process ids when the fleet is closed and when the benchmark is interrupted.
 */
final class ProcessFleet implements AutoCloseable {
    private static final String LAUNCHER = "./launcher/azureshed";
    private static final Path LOGS = Path.of("target", "bench-logs");
    private static final Duration START_BOUND = Duration.ofSeconds(60);
    private static final Duration ANSWER_BOUND = Duration.ofSeconds(5);
    private static final long COMMAND_SECONDS = 40;

    /** So many that a busy machine does not fill the queues. */
    private static final int TARGET_SLOTS = 32;

    private static final long POLL_MILLIS = 25;
    private static final int FIRST_PORT = 10_000;

    /** Ports from here on are given to outgoing connections, also before a process listens. */
    private static final int FIRST_EPHEMERAL_PORT = 32_768;

    private final Set<Integer> givenPorts = new HashSet<>();

    private final String name;
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final ObjectMapper json = new ObjectMapper();
    private final Collection<Process> processes = new ConcurrentLinkedQueue<>();
    private final Thread killer = new Thread(this::killAll, "kill-processes");
    private final int platformPort = freePort();

    /** A node process and its ports. */
    record Node(String id, int entry, int admin, Process process) {
        URI entryUri(String path) {
            return URI.create("http://127.0.0.1:" + entry + path);
        }

        URI adminUri(String path) {
            return URI.create("http://127.0.0.1:" + admin + path);
        }
    }

    /** Starts the platform stand-in. */
    ProcessFleet(String name) throws Exception {
        this.name = name;
        Files.createDirectories(LOGS);
        Runtime.getRuntime().addShutdownHook(killer);
        start("platform", List.of("platform-standin", "--port", "" + platformPort));
        await("the platform", START_BOUND, () -> !json(platformUri("/stats")).isEmpty());
    }

    URI platformUri(String path) {
        return URI.create("http://127.0.0.1:" + platformPort + path);
    }

    /** Starts a node; it need not be ready when this returns. */
    Node startNode(String id, String zone) throws IOException {
        int entry = freePort();
        int admin = freePort();
        List<String> arguments = new ArrayList<>(List.of("node", "--node-id", id));
        arguments.addAll(List.of("--region", "region-1", "--zone", zone));
        arguments.addAll(List.of("--address", "127.0.0.1", "--entry-port", "" + entry));
        arguments.addAll(List.of("--host-port", "" + freePort()));
        arguments.addAll(List.of("--control-port", "" + freePort(), "--admin-port", "" + admin));
        arguments.addAll(List.of("--platform", platformUri("").toString()));
        return new Node(id, entry, admin, start(id, arguments));
    }

    void startTarget(Node node, String id, String service) throws IOException {
        String admin = node.adminUri("").toString();
        List<String> arguments =
                new ArrayList<>(List.of("sample-target", "--id", id, "--service", service));
        arguments.addAll(List.of("--slots", "" + TARGET_SLOTS, "--admin", admin));
        start(id, arguments);
    }

    /** Runs a command that calls the platform to its end. */
    void command(String... arguments) throws Exception {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of("--platform", platformUri("").toString()));
        Process process = start("command", all);
        if (!process.waitFor(COMMAND_SECONDS, TimeUnit.SECONDS) || process.exitValue() != 0) {
            throw new IllegalStateException(all + " failed; see " + log("command"));
        }
        processes.remove(process);
    }

    /** Waits until a node answers on its admin listener. */
    void awaitStarted(Node node) throws Exception {
        await(node.id(), START_BOUND, () -> status(node).has("node"));
    }

    /** Waits until a node knows this many targets as ready. */
    void awaitTargets(Node node, int count) throws Exception {
        await(
                count + " targets at " + node.id(),
                START_BOUND,
                () ->
                        status(node).path("services").findValuesAsText("state").stream()
                                        .filter("ready"::equals)
                                        .count()
                                == count);
    }

    /** Waits until a node has at least this activation in force. */
    void awaitActivation(Node node, long number, Duration bound) throws Exception {
        await(
                "activation " + number + " at " + node.id(),
                bound,
                () -> status(node).path("activationNumber").asLong() >= number);
    }

    JsonNode status(Node node) throws IOException, InterruptedException {
        return json(node.adminUri("/v1/status"));
    }

    JsonNode json(URI uri) throws IOException, InterruptedException {
        return json(uri, ANSWER_BOUND);
    }

    /** Reads a JSON document that is answered within a bound. */
    JsonNode json(URI uri, Duration bound) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(bound).build();
        return json.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    /** Changes the faults of the platform stand-in. */
    void faults(String change) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(platformUri("/faults"))
                        .POST(HttpRequest.BodyPublishers.ofString(change))
                        .build();
        int status = client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        if (status != 200) {
            throw new IOException("the platform stand-in answered " + status);
        }
    }

    /** Waits for a condition; an I/O error counts as not met. */
    private static void await(String what, Duration bound, Callable<Boolean> condition)
            throws Exception {
        long end = System.nanoTime() + bound.toNanos();
        while (!met(condition)) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("not within " + bound + ": " + what);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private static boolean met(Callable<Boolean> condition) throws Exception {
        try {
            return condition.call();
        } catch (IOException ignored) {
            return false;
        }
    }

    private Process start(String id, List<String> arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(LAUNCHER));
        command.addAll(arguments);
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log(id).toFile()))
                        .start();
        processes.add(process);
        return process;
    }

    private Path log(String id) {
        return LOGS.resolve(name + "-" + id + ".log");
    }

    private int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, FIRST_EPHEMERAL_PORT);
            if (givenPorts.add(port) && isFree(port)) {
                return port;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }

    private void killAll() {
        processes.forEach(Process::destroyForcibly);
        processes.forEach(process -> process.onExit().join());
    }

    @Override
    public void close() {
        killAll();
        client.shutdownNow();
        Runtime.getRuntime().removeShutdownHook(killer);
    }
}
