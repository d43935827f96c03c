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
 * A fleet of separate processes on loopback addresses: platform stand-in, nodes and sample targets.
 * All of them are killed when the fleet is closed and, by a shutdown hook, when the benchmark is
 * interrupted.
 */
final class ProcessFleet implements AutoCloseable {
    private static final String LAUNCHER = "./launcher/azureshed";
    private static final Path LOG_DIRECTORY = Path.of("target", "bench-logs");
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);
    private static final long COMMAND_TIMEOUT_SECONDS = 40;

    /** Enough slots that requests do not queue up when the machine is busy. */
    private static final int TARGET_SLOTS = 32;

    private static final long POLL_INTERVAL_MILLIS = 25;
    private static final int FIRST_PORT = 10_000;

    /**
     * The operating system assigns ports from here on to outgoing connections, so that such a port
     * may be taken before the process that it was chosen for listens on it.
     */
    private static final int FIRST_EPHEMERAL_PORT = 32_768;

    private final Set<Integer> assignedPorts = new HashSet<>();
    private final String logPrefix;
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final ObjectMapper mapper = new ObjectMapper();
    private final Collection<Process> processes = new ConcurrentLinkedQueue<>();
    private final Thread shutdownHook = new Thread(this::killAll, "kill-processes");
    private final int platformPort = freePort();

    /** A node process with the ports of its entry and admin listeners. */
    record Node(String id, int entryPort, int adminPort, Process process) {
        URI entryUri(String path) {
            return URI.create("http://127.0.0.1:" + entryPort + path);
        }

        URI adminUri(String path) {
            return URI.create("http://127.0.0.1:" + adminPort + path);
        }
    }

    /**
     * Starts the platform stand-in and waits until it responds.
     *
     * @param logPrefix prefix of the names of the log files
     */
    ProcessFleet(String logPrefix) throws Exception {
        this.logPrefix = logPrefix;
        Files.createDirectories(LOG_DIRECTORY);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        start("platform", List.of("platform-standin", "--port", "" + platformPort));
        await(
                "the platform stand-in",
                START_TIMEOUT,
                () -> !readJson(platformUri("/stats")).isEmpty());
    }

    URI platformUri(String path) {
        return URI.create("http://127.0.0.1:" + platformPort + path);
    }

    /** Starts a node without waiting until it is ready. */
    Node startNode(String id, String zone) throws IOException {
        int entryPort = freePort();
        int adminPort = freePort();
        List<String> arguments = new ArrayList<>(List.of("node", "--node-id", id));
        arguments.addAll(List.of("--region", "region-1", "--zone", zone));
        arguments.addAll(List.of("--address", "127.0.0.1", "--entry-port", "" + entryPort));
        arguments.addAll(List.of("--host-port", "" + freePort()));
        arguments.addAll(
                List.of("--control-port", "" + freePort(), "--admin-port", "" + adminPort));
        arguments.addAll(List.of("--platform", platformUri("").toString()));
        return new Node(id, entryPort, adminPort, start(id, arguments));
    }

    void startTarget(Node node, String id, String service) throws IOException {
        String adminUrl = node.adminUri("").toString();
        List<String> arguments =
                new ArrayList<>(List.of("sample-target", "--id", id, "--service", service));
        arguments.addAll(List.of("--slots", "" + TARGET_SLOTS, "--admin", adminUrl));
        start(id, arguments);
    }

    /** Runs a command with the address of the platform and waits for its successful end. */
    void command(String... arguments) throws Exception {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of("--platform", platformUri("").toString()));
        Process process = start("command", all);
        if (!process.waitFor(COMMAND_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                || process.exitValue() != 0) {
            throw new IllegalStateException(all + " failed; see " + logFile("command"));
        }
        processes.remove(process);
    }

    /** Waits until a node responds on its admin listener. */
    void awaitStarted(Node node) throws Exception {
        await(node.id(), START_TIMEOUT, () -> status(node).has("node"));
    }

    /** Waits until a node knows exactly this many ready targets. */
    void awaitTargets(Node node, int count) throws Exception {
        await(
                count + " targets at " + node.id(),
                START_TIMEOUT,
                () ->
                        status(node).path("services").findValuesAsText("state").stream()
                                        .filter("ready"::equals)
                                        .count()
                                == count);
    }

    /** Waits until this activation, or a later one, is in force on a node. */
    void awaitActivation(Node node, long activationNumber, Duration timeout) throws Exception {
        await(
                "activation " + activationNumber + " at " + node.id(),
                timeout,
                () -> status(node).path("activationNumber").asLong() >= activationNumber);
    }

    JsonNode status(Node node) throws IOException, InterruptedException {
        return readJson(node.adminUri("/v1/status"));
    }

    JsonNode readJson(URI url) throws IOException, InterruptedException {
        return readJson(url, RESPONSE_TIMEOUT);
    }

    JsonNode readJson(URI url, Duration timeout) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(url).timeout(timeout).build();
        return mapper.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    /** Changes the faults that the platform stand-in injects. */
    void setFaults(String faultsJson) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(platformUri("/faults"))
                        .POST(HttpRequest.BodyPublishers.ofString(faultsJson))
                        .build();
        int status = client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        if (status != 200) {
            throw new IOException(
                    "the platform stand-in answered the fault change with status " + status);
        }
    }

    /** Polls until a condition holds; an I/O error counts as not holding. */
    private static void await(String description, Duration timeout, Callable<Boolean> condition)
            throws Exception {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (!holds(condition)) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IllegalStateException(
                        "timed out after " + timeout + " waiting for " + description);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private static boolean holds(Callable<Boolean> condition) throws Exception {
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
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(id).toFile()))
                        .start();
        processes.add(process);
        return process;
    }

    private Path logFile(String id) {
        return LOG_DIRECTORY.resolve(logPrefix + "-" + id + ".log");
    }

    private int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, FIRST_EPHEMERAL_PORT);
            if (assignedPorts.add(port) && isFree(port)) {
                return port;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException inUse) {
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
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}
