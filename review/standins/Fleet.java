import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.ThreadLocalRandom;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.platform.standin.StoreStandIn;

/**
 * A small deployment on loopback addresses: a store, nodes started with the command of the deploy
 * file, and one instance beside each node. Acts as the platform: starts, signals and restarts
 * nodes.
 */
final class Fleet implements AutoCloseable {
    private static final List<String> BOUNDS =
            List.of(
                    "seedLagS=3",
                    "reuseAfterS=2",
                    "stableWindowMs=3000",
                    "ackMs=4000",
                    "catchUpS=4",
                    "drainMs=2000",
                    "graceS=6",
                    "lossSlackMs=200",
                    "configMs=2000",
                    "rollbackSlackMs=250",
                    "outerMs=5000",
                    "budgetRatio=0.2",
                    "budgetWindowS=10",
                    "budgetSlack=56",
                    "recoveryS=15",
                    "probesPerS=3",
                    "floorShare=0.7");

    final Record record;
    final StoreStandIn store;
    final List<Node> nodes = new ArrayList<>();
    final int basePort;
    private final String network;
    private final Path directory;
    private final ObjectMapper json = new ObjectMapper();

    /** A node's process and the instance beside it. */
    final class Node {
        final String name;
        final String zone;
        final String ip;
        final String service;
        Instance instance;
        Process process;

        Node(String name, String zone, String ip, String service) {
            this.name = name;
            this.zone = zone;
            this.ip = ip;
            this.service = service;
        }

        int entryPort() {
            return basePort + 4;
        }

        void start(boolean firstStart) throws IOException {
            Path settings = directory.resolve(name + ".json");
            Files.writeString(settings, settings(this, firstStart).toString());
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("AZURESHED_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
            process = builder.start();
            record.line("node " + name + " started");
        }

        void signal(String signal) throws IOException, InterruptedException {
            record.say("node " + name + " gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        boolean ready() {
            return Http.call(ip, basePort + 2, "GET", "/readiness", "", 1_000) == 200;
        }
    }

    Fleet(Record record) throws IOException {
        this.record = record;
        this.directory = Files.createTempDirectory("review");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        this.network = "127." + random.nextInt(20, 220) + "." + random.nextInt(1, 250) + ".";
        this.basePort = freePorts(random);
        this.store = new StoreStandIn(network + "200", 0);
    }

    private int freePorts(ThreadLocalRandom random) {
        while (true) {
            int base = random.nextInt(10_000, 30_000);
            boolean free = true;
            for (int offset = 0; offset < 24 && free; offset++) {
                for (int host = 1; host <= 30 && free; host++) {
                    try (ServerSocket probe = new ServerSocket()) {
                        probe.bind(
                                new InetSocketAddress(
                                        InetAddress.getByName(network + host), base + offset));
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) {
                return base;
            }
        }
    }

    /** The command of the deploy file's only role. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            if (line.startsWith("run = ")) {
                return Arrays.asList(
                        line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no run command");
    }

    /** Adds a node with an instance of a service beside it; starts the instance, not the node. */
    Node add(String zone, String service, int slots, long workMillis) throws IOException {
        int number = nodes.size() + 1;
        Node node = new Node("sidecar-" + number, zone, network + number, service);
        node.instance =
                new Instance(
                        "i-" + number, node.ip, basePort + 1, basePort + 6, service, slots, record);
        node.instance.workMillis(workMillis);
        nodes.add(node);
        return node;
    }

    void configure(long version, List<ProtocolRequests.RouteSpec> routes) {
        store.put("config", "main", ProtocolRequests.configuration(version, routes));
    }

    /** Starts all nodes and waits until they are ready and know each other. */
    void startAll() throws IOException, InterruptedException {
        for (Node node : nodes) {
            node.start(true);
        }
        for (Node node : nodes) {
            awaitReady(node, 20_000);
        }
        Thread.sleep(4_000);
    }

    void awaitReady(Node node, long millis) throws InterruptedException {
        long end = record.now() + millis;
        while (!node.ready()) {
            if (record.now() > end) {
                throw new IllegalStateException(node.name + " is not ready after " + millis + " ms");
            }
            Thread.sleep(50);
        }
        record.line("node " + node.name + " ready");
    }

    private ObjectNode settings(Node node, boolean firstStart) {
        ObjectNode settings =
                json.createObjectNode()
                        .put("node", node.name)
                        .put("role", "node")
                        .put("machineClass", "sidecar")
                        .put("ip", node.ip)
                        .put("zone", node.zone)
                        .put("region", "r")
                        .put("service", node.service)
                        .put("appAddress", node.ip + ':' + (basePort + 1))
                        .put("heartbeatIntervalMs", 1_500)
                        .put("bootstrap", firstStart);
        settings.putArray("serves").add("sidecar");
        settings.putObject("listen")
                .put("inbound", node.ip + ':' + basePort)
                .put("outbound", node.ip + ':' + (basePort + 4))
                .put("ready", node.ip + ':' + (basePort + 2))
                .put("control", node.ip + ':' + (basePort + 6));
        settings.putArray("internalPorts").add(basePort + 8).add(basePort + 23);
        settings.putArray("seeds");
        settings.putObject("platform")
                .put("address", store.address())
                .put("form", "objects")
                .put("writesPerS", 400)
                .put("readsPerS", 2000)
                .put("historyS", 20)
                .put("valueBytes", 1048576);
        BOUNDS.forEach(settings.withArray("bounds")::add);
        return settings;
    }

    /** Copies the log of a node into the record's folder, for reading. */
    Path directory() {
        return directory;
    }

    /** Ends everything that this fleet started, and removes its temporary files. */
    @Override
    public void close() throws Exception {
        for (Node node : nodes) {
            if (node.process != null && node.process.isAlive()) {
                node.process.destroyForcibly();
            }
        }
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.waitFor(5, TimeUnit.SECONDS);
            }
            node.instance.close();
        }
        store.close();
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.list(directory)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(directory);
        } else {
            System.out.println("logs in " + directory);
        }
    }
}
