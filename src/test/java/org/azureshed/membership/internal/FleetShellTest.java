package org.azureshed.membership.internal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.control.ControlReducer;
import org.azureshed.control.ControlState;
import org.azureshed.control.Effect;
import org.azureshed.distribution.Announcement;
import org.azureshed.distribution.ContentDigest;
import org.azureshed.distribution.ContentStore;
import org.azureshed.distribution.DistributionEffect;
import org.azureshed.distribution.DistributionEvent;
import org.azureshed.distribution.Relays;
import org.azureshed.distribution.internal.DistributionShell;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;
import org.azureshed.platform.Listing;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Nodes with real connections over loopback and no node records on the platform. */
class FleetShellTest {
    private static final int NODES = 6;
    private static final String CHUNK = "routes";

    /** Contents by name, which only relays read; all nodes are in one zone here. */
    private final Map<String, byte[]> platform = new ConcurrentHashMap<>();

    private final List<Node> nodes = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        Endpoint seed = freeEndpoint();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(i, i == 0 ? seed : freeEndpoint(), seed));
        }
        for (Node node : nodes) {
            node.loop.start();
            assertTrue(node.shell.start(node.self.control()).isRight());
        }
        await("nodes know each other", 15_000, () -> all(node -> nodeCount(node) == NODES));
    }

    @AfterEach
    void stop() {
        for (Node node : nodes) {
            node.shell.close();
            node.loop.stop();
        }
    }

    /** Guards against gossip that works in virtual time only, and against late drains. */
    @Test
    void targetsAndDrainsSpreadWithoutPlatform() throws Exception {
        TargetInfo target =
                new TargetInfo(
                        new TargetId("t1"),
                        "reading",
                        new Endpoint("127.0.0.1", 9_000),
                        4,
                        TargetState.READY);
        nodes.get(1).loop.submit(new ControlEvent.TargetAnnounced(target));
        await("ready", 15_000, () -> all(node -> state(node) == TargetState.READY));
        TargetInfo draining = target.withState(TargetState.DRAINING);
        nodes.get(1).loop.submit(new ControlEvent.TargetAnnounced(draining));
        await("draining", 3_000, () -> all(node -> state(node) == TargetState.DRAINING));
    }

    /** Guards against a preset that reaches only the relays. */
    @Test
    void presetReachesNodesThroughPeers() throws Exception {
        byte[] chunk = CHUNK.getBytes(StandardCharsets.UTF_8);
        String manifest = ContentDigest.of(chunk).hex();
        byte[] manifestBytes = manifest.getBytes(StandardCharsets.UTF_8);
        ContentDigest digest = ContentDigest.of(manifestBytes);
        platform.put(digest.hex(), manifestBytes);
        platform.put(manifest, chunk);
        Optional<Announcement> inForce = Optional.of(new Announcement(7, digest, false));
        List<NodeId> ids = nodes.stream().map(node -> node.self.id()).toList();
        await(
                "relays",
                5_000,
                () -> all(node -> node.relay == Relays.isRelay(node.self.id(), ids)));
        Node relay = nodes.stream().filter(node -> node.relay).findFirst().orElseThrow();
        relay.loop.submit(
                new ControlEvent.Distribution(new DistributionEvent.IndexRead(inForce, 1)));
        await("activated", 10_000, () -> all(node -> node.activation == 7));
    }

    private int nodeCount(Node node) {
        return node.loop.snapshot().nodeCount();
    }

    private static TargetState state(Node node) {
        return node.loop.snapshot().candidatesOf("reading").stream()
                .map(candidate -> candidate.target().state())
                .findFirst()
                .orElse(null);
    }

    private boolean all(java.util.function.Predicate<Node> condition) {
        return nodes.stream().allMatch(condition);
    }

    private static void await(String description, long millis, BooleanSupplier condition)
            throws InterruptedException {
        long end = System.nanoTime() + Duration.ofMillis(millis).toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, description + " not within " + millis + " ms");
            Thread.sleep(10);
        }
    }

    private static Endpoint freeEndpoint() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new Endpoint("127.0.0.1", socket.getLocalPort());
        }
    }

    /** One node without traffic. */
    private final class Node {
        final NodeInfo self;
        final ControlLoop loop;
        final FleetShell shell;
        final DistributionShell distribution;
        volatile boolean relay;
        volatile long activation;

        Node(int index, Endpoint control, Endpoint seed) {
            self =
                    new NodeInfo(
                            new NodeId("n" + index),
                            "region",
                            "zone",
                            new Endpoint("127.0.0.1", 1_000 + index),
                            new Endpoint("127.0.0.1", 2_000 + index),
                            control,
                            1_796_000_000_000L,
                            1,
                            false,
                            List.of());
            loop =
                    new ControlLoop(
                            new ControlReducer(List.of(seed)),
                            ControlState.initial(self),
                            this::carryOut);
            shell =
                    FleetShell.create(
                            event -> loop.submit(new ControlEvent.Membership(event)),
                            effect -> {},
                            (message, replier) -> distribution().serve(message, replier));
            distribution =
                    new DistributionShell(
                            shell.transport(),
                            new ContentStore(),
                            (digest, content) ->
                                    Either.right(
                                            List.of(
                                                    new ContentDigest(
                                                            new String(
                                                                    content,
                                                                    StandardCharsets.UTF_8)))),
                            new ContentsOnly(),
                            "chunk",
                            event -> loop.submit(new ControlEvent.Distribution(event)),
                            this::recordEffect);
        }

        private DistributionShell distribution() {
            return distribution;
        }

        private void carryOut(Effect effect) {
            switch (effect) {
                case Effect.Membership(var membership) -> shell.carryOut(membership);
                case Effect.Distribution(var change) -> distribution.carryOut(change);
                default -> {
                    // The test reads snapshots instead.
                }
            }
        }

        private void recordEffect(DistributionEffect effect) {
            if (effect instanceof DistributionEffect.WatchIndex(boolean watch)) {
                relay = watch;
            } else if (effect instanceof DistributionEffect.Activate active) {
                activation = active.number();
            }
        }
    }

    /** A read-only store that serves contents and cannot list or watch. */
    private final class ContentsOnly implements ObjectStore {
        @Override
        public Either<StoreError, StoredObject> get(ObjectKey key) {
            byte[] content = platform.get(key.name());
            return content == null
                    ? Either.left(new StoreError.NotFound(key))
                    : Either.right(new StoredObject(key, 1, content, false, 0));
        }

        @Override
        public Either<StoreError, StoredObject> put(ObjectKey key, byte[] value, long version) {
            return Either.left(new StoreError.Unavailable("read only"));
        }

        @Override
        public Either<StoreError, StoredObject> delete(ObjectKey key, long version) {
            return Either.left(new StoreError.Unavailable("read only"));
        }

        @Override
        public Either<StoreError, Listing> list(String kind) {
            return Either.left(new StoreError.Unavailable("contents only"));
        }

        @Override
        public Either<StoreError, Listing> watch(String kind, long since, Duration timeout) {
            return Either.left(new StoreError.Unavailable("contents only"));
        }
    }
}
