package org.azureshed.node;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.azureshed.model.NodeId;
import org.azureshed.model.Preset;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetState;
import org.azureshed.platform.HttpObjectStore;
import org.azureshed.platform.ObjectStore;
import org.azureshed.preset.ChangeRequest;
import org.azureshed.preset.PresetCodec;
import org.azureshed.preset.PresetOperations;
import org.azureshed.routing.Candidate;
import org.azureshed.standin.PlatformStandIn;

/** Runs a platform stand-in and nodes in the test process, with the example preset in force. */
public final class FleetInProcess implements AutoCloseable {
    private static final long AWAIT_MILLIS = 20_000;
    private static final long POLL_MILLIS = 20;
    private static final int FIRST_PORT = 10_000;

    /**
     * Start of the range that outgoing connections get their ports from. Such a connection could
     * take a port of this range before the intended process listens on it.
     */
    private static final int FIRST_EPHEMERAL_PORT = 32_768;

    private static final Set<Integer> ASSIGNED_PORTS = ConcurrentHashMap.newKeySet();

    private final PlatformStandIn platform = new PlatformStandIn(0);
    private final List<NodeApplication> nodes = new ArrayList<>();

    /**
     * Repeated announcements by target id; a node treats a target that stops announcing as dead.
     */
    private final Map<String, Runnable> announcements = new ConcurrentHashMap<>();

    private final ScheduledExecutorService announcer = Executors.newSingleThreadScheduledExecutor();

    /** Starts the platform stand-in and activates the preset of {@code examples/ordinary.json}. */
    public FleetInProcess() throws IOException {
        platform.start();
        announcer.scheduleAtFixedRate(
                () -> announcements.values().forEach(Runnable::run), 1, 1, TimeUnit.SECONDS);
        byte[] json = Files.readAllBytes(Path.of("examples", "ordinary.json"));
        Preset preset = PresetCodec.decode("ordinary.json", json).get();
        PresetOperations operations = PresetOperations.of(store());
        operations.put(preset, ChangeRequest.of("test", "set-up")).get();
        operations.use(preset.name(), ChangeRequest.of("test", "set-up")).get();
    }

    /** A client of the platform. */
    public ObjectStore store() {
        return new HttpObjectStore(platform.uri());
    }

    /** Settings of a node with free ports. */
    public static NodeSettings settings(String id, URI platform) throws IOException {
        int hostPort = freePort();
        int controlPort = freePort();
        return new NodeSettings(
                new NodeId(id),
                "region-1",
                "zone-" + id,
                "127.0.0.1",
                freePort(),
                hostPort,
                controlPort,
                "127.0.0.1",
                freePort(),
                platform,
                hostPort,
                controlPort,
                List.of());
    }

    /** Starts a node and waits until it has the preset. */
    public NodeSettings startNode(String id) throws Exception {
        NodeSettings settings = settings(id, platform.uri());
        NodeApplication node = new NodeApplication(settings);
        node.run();
        nodes.add(node);
        await(() -> node.snapshot().active().isPresent(), "preset on node " + id);
        return settings;
    }

    /** Announces a target that listens on a port of this machine, and waits for the node. */
    public void announce(NodeSettings node, String id, String service, int port, int slots)
            throws Exception {
        announce(node, id, service, port, slots, TargetState.READY);
    }

    /** Announces a target in any state, and waits until all nodes know the state. */
    public void announce(
            NodeSettings node, String id, String service, int port, int slots, TargetState state)
            throws Exception {
        NodeApplication application = application(node);
        TargetAnnouncement announcement =
                new TargetAnnouncement(
                        id,
                        service,
                        "127.0.0.1:" + port,
                        slots,
                        state.name().toLowerCase(Locale.ROOT));
        announcements.put(id, () -> application.announce(announcement));
        application.announce(announcement);
        for (NodeApplication other : nodes) {
            await(() -> knows(other, service, id, state), "target " + id + " " + state);
        }
    }

    /** Stops the announcements of a target, as if its process had crashed. */
    public void stopAnnouncing(String id) {
        announcements.remove(id);
    }

    /** Highest crash count of any suspect request in the view of a node. */
    public int crashes(NodeSettings node) {
        return application(node).suspects().crashes().values().stream()
                .max(Integer::compare)
                .orElse(0);
    }

    /** Weight of a target in the view of a node; 0 if it is ejected. */
    public int weightPercent(NodeSettings node, TargetId target) {
        return application(node).snapshot().weightPercent(target);
    }

    /** Number of nodes that a node knows, including itself. */
    public int knownNodes(NodeSettings node) {
        return application(node).snapshot().nodeCount();
    }

    /** The name of the preset in force on a node. */
    public String activePreset(NodeSettings node) {
        return application(node).snapshot().active().orElseThrow().preset().name();
    }

    private NodeApplication application(NodeSettings settings) {
        return nodes.stream()
                .filter(node -> node.settings().equals(settings))
                .findFirst()
                .orElseThrow();
    }

    private static boolean knows(
            NodeApplication node, String service, String target, TargetState state) {
        return node.snapshot().candidatesOf(service).stream()
                .map(Candidate::target)
                .anyMatch(info -> info.id().value().equals(target) && info.state() == state);
    }

    /** Waits for a condition; on timeout, fails with its description. */
    public static void await(BooleanSupplier condition, String description)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("timed out waiting for " + description);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    /** Returns a port that is free and that this class has not returned before. */
    public static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, FIRST_EPHEMERAL_PORT);
            if (ASSIGNED_PORTS.add(port) && isFree(port)) {
                return port;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port)) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }

    /** The entry listener of a node. */
    public static URI entry(NodeSettings node) {
        return URI.create("http://127.0.0.1:" + node.entryPort());
    }

    @Override
    public void close() {
        announcer.shutdownNow();
        nodes.reversed().forEach(NodeApplication::close);
        platform.close();
    }
}
