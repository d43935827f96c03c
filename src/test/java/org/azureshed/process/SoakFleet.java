package org.azureshed.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.platform.standin.StoreStandIn;

/**
 * Nodes as processes, each on loopback addresses of its own, with relays on their links, a target
 * beside each, and a store.
 */
final class SoakFleet implements AutoCloseable {
    static final int TARGET_PORT = 18311;
    static final int TARGET_RELAY_PORT = 18301;
    static final int CONTROL_PORT = 18306;
    static final int ENTRY_PORT = 18304;

    private static final int HOST_PORT = 18300;
    private static final int READY_PORT = 18302;
    private static final int PEER_PORT = 18320;
    private static final int STORE_RELAY_PORT = 18330;

    /** Addresses under which other nodes reach a node, through relays. */
    private static final int ADVERTISED_OFFSET = 100;

    private static final long GRACE_SECONDS = 6;
    private static final Path JAR = Path.of("target", "azureshed-sidecar.jar");
    private static final Path FILES = Path.of("target", "soak");
    private static final String KIND = "azureshed-nodes";

    /** Each fleet gets addresses of its own, so that sockets of an earlier one do not matter. */
    private static final AtomicInteger NEXT_NETWORK = new AtomicInteger(1);

    private static final long PROCESS_NETWORK = 20 + ProcessHandle.current().pid() % 200;

    private final String name;
    private final int network = NEXT_NETWORK.getAndIncrement();
    private final SoakJournal journal;
    private final StoreStandIn store = new StoreStandIn("127.0.0.1", 0);
    private final List<Node> nodes = new ArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private final ObjectMapper json = new ObjectMapper();
    private long version = 1;

    /** One node, its process, links and target. */
    static final class Node {
        private final int index;
        private final SoakTarget target;
        private final Map<SoakFault.Link, List<FaultInjectingRelay>> relays =
                new EnumMap<>(SoakFault.Link.class);
        private final Set<Process> endExpected = ConcurrentHashMap.newKeySet();
        private Process process;

        Node(int index, SoakTarget target) {
            this.index = index;
            this.target = target;
        }

        SoakTarget target() {
            return target;
        }

        List<FaultInjectingRelay> relays(SoakFault.Link link) {
            return relays.get(link);
        }
    }

    SoakFleet(String name, int size, SoakJournal journal) throws Exception {
        this.name = name;
        this.journal = journal;
        Files.createDirectories(FILES);
        store.put("config", "main", configuration());
        for (int i = 0; i < size; i++) {
            String service = i % 3 == 2 ? "kiosk" : "shop";
            Node node = new Node(i, new SoakTarget(i, service, ip(i), journal));
            node.relays.put(
                    SoakFault.Link.PEERS, List.of(peers(i, HOST_PORT), peers(i, PEER_PORT)));
            node.relays.put(
                    SoakFault.Link.TARGET,
                    List.of(relay(ip(i), TARGET_RELAY_PORT, address(i, TARGET_PORT))));
            node.relays.put(
                    SoakFault.Link.STORE,
                    List.of(relay(ip(i), STORE_RELAY_PORT, parse(store.address()))));
            nodes.add(node);
        }
        for (Node node : nodes) {
            writeSettings(node, true);
            start(node);
        }
    }

    List<Node> nodes() {
        return nodes;
    }

    StoreStandIn store() {
        return store;
    }

    String entry(int node) {
        return ip(node) + ':' + ENTRY_PORT;
    }

    synchronized long version() {
        return version;
    }

    /** Writes the next version of the configuration, which renames the versioned route. */
    synchronized void reconfigure() {
        version++;
        store.put("config", "main", configuration());
    }

    private ObjectNode configuration() {
        return ProtocolRequests.configuration(
                version,
                List.of(
                        route("/read/", "idempotent", "shop", SoakCaller.TIMEOUT_MILLIS),
                        route("/write/", "non_idempotent", "shop", SoakCaller.TIMEOUT_MILLIS),
                        route("/kiosk/", "non_idempotent", "kiosk", SoakCaller.TIMEOUT_MILLIS),
                        route("/slow/", "idempotent", "shop", SoakCaller.SLOW_TIMEOUT_MILLIS),
                        route(
                                "/v" + version + '/',
                                "idempotent",
                                "shop",
                                SoakCaller.TIMEOUT_MILLIS)));
    }

    private static ProtocolRequests.RouteSpec route(
            String prefix, String kind, String service, long timeoutMillis) {
        return new ProtocolRequests.RouteSpec(prefix, kind, service, timeoutMillis);
    }

    boolean ready(int node) throws InterruptedException {
        try {
            String address = ip(node) + ':' + READY_PORT;
            return ProtocolRequests.call(client, "GET", address, "/readiness", "").statusCode()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void writeSettings(Node node, boolean firstStart) throws IOException {
        String ip = ip(node.index);
        ObjectNode settings =
                json.createObjectNode()
                        .put("node", "node-" + node.index)
                        .put("ip", ip)
                        .put("zone", "az-" + node.index % 2)
                        .put("service", node.target.service())
                        .put("appAddress", ip + ':' + TARGET_RELAY_PORT)
                        .put("heartbeatIntervalMs", SoakTarget.HEARTBEAT_MILLIS)
                        .put("bootstrap", firstStart);
        settings.putObject("listen")
                .put("inbound", ip + ':' + HOST_PORT)
                .put("outbound", ip + ':' + ENTRY_PORT)
                .put("ready", ip + ':' + READY_PORT)
                .put("control", ip + ':' + CONTROL_PORT);
        settings.putArray("internalPorts").add(PEER_PORT).add(PEER_PORT + 1);
        settings.putObject("platform").put("address", ip + ':' + STORE_RELAY_PORT);
        settings.putArray("bounds")
                .add("graceS=" + GRACE_SECONDS)
                .add("budgetRatio=0.2")
                .add("budgetSlack=60")
                .add("budgetWindowS=10");
        Path next = settingsFile(node).resolveSibling("next-" + name + '-' + node.index);
        Files.writeString(next, settings.toString());
        Files.move(next, settingsFile(node), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    private Path settingsFile(Node node) {
        return FILES.resolve(name + "-node-" + node.index + ".json");
    }

    private Path log(Node node) {
        return FILES.resolve(name + "-node-" + node.index + ".log");
    }

    void start(Node node) throws IOException {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        ProcessBuilder builder =
                new ProcessBuilder(
                        java.toString(),
                        "-Xmx96m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "--sun-misc-unsafe-memory-access=allow",
                        "-cp",
                        JAR.toString(),
                        "org.azureshed.platform.SidecarMain");
        builder.environment().put("AZURESHED_CONFIG", settingsFile(node).toString());
        builder.environment().put("AZURESHED_ADVERTISED_IP", advertisedIp(node.index));
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(node).toFile()));
        node.process = builder.start();
        Process started = node.process;
        started.onExit().thenRun(() -> ended(node, started));
    }

    private void ended(Node node, Process process) {
        if (!node.endExpected.contains(process)) {
            journal.violated("process", "node-" + node.index + " ended by itself");
        }
    }

    /** Sends a signal to the node's process, by its id. */
    void signal(Node node, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, "" + node.process.pid()).start().waitFor();
    }

    void kill(Node node) throws InterruptedException {
        node.endExpected.add(node.process);
        node.process.destroyForcibly().waitFor();
    }

    /** SIGTERM; the platform kills a process that outlives its grace. */
    void terminate(Node node) throws InterruptedException {
        node.endExpected.add(node.process);
        node.process.destroy();
        if (!node.process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
            node.process.destroyForcibly().waitFor();
        }
    }

    /** Makes the store know a later start of the node than its clock will give the next one. */
    void raiseStoredStart(Node node, long millis) {
        ObjectNode entry =
                json.createObjectNode()
                        .put("node", "node-" + node.index)
                        .put("az", "az-" + node.index % 2)
                        .put("at", advertisedIp(node.index) + ':' + HOST_PORT)
                        .put("incarnation", System.currentTimeMillis() + millis)
                        .put("revision", 1);
        store.put(KIND, "node-" + node.index, entry);
    }

    /** Highest resident memory of a node's process in megabytes; 0 if it is not running. */
    long peakMegabytes(Node node) throws IOException {
        Path status = Path.of("/proc", "" + node.process.pid(), "status");
        if (!Files.exists(status)) {
            return 0;
        }
        return Files.readAllLines(status).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) >> 10)
                .findFirst()
                .orElse(0);
    }

    private FaultInjectingRelay peers(int node, int port) throws IOException {
        return relay(advertisedIp(node), port, address(node, port));
    }

    private static FaultInjectingRelay relay(String ip, int port, InetSocketAddress target)
            throws IOException {
        return new FaultInjectingRelay(new InetSocketAddress(ip, port), target);
    }

    private InetSocketAddress address(int node, int port) {
        return new InetSocketAddress(ip(node), port);
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private String ip(int node) {
        return "127." + PROCESS_NETWORK + '.' + network + '.' + (node + 1);
    }

    private String advertisedIp(int node) {
        return "127." + PROCESS_NETWORK + '.' + network + '.' + (node + 1 + ADVERTISED_OFFSET);
    }

    @Override
    public void close() throws Exception {
        for (Node node : nodes) {
            if (node.process != null) {
                node.endExpected.add(node.process);
                signal(node, "CONT");
                node.process.destroyForcibly();
            }
        }
        for (Node node : nodes) {
            node.target.close();
            for (List<FaultInjectingRelay> relays : node.relays.values()) {
                for (FaultInjectingRelay relay : relays) {
                    relay.close();
                }
            }
        }
        store.close();
        client.shutdownNow();
    }
}
