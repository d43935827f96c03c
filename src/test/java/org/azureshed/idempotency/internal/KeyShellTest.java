package org.azureshed.idempotency.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.control.ControlReducer;
import org.azureshed.control.ControlState;
import org.azureshed.control.Effect;
import org.azureshed.idempotency.ClaimDecision;
import org.azureshed.idempotency.ContentFingerprint;
import org.azureshed.idempotency.KeyClaims;
import org.azureshed.idempotency.KeyTiming;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.idempotency.StoredAnswer;
import org.azureshed.membership.internal.FleetShell;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.Outcome;
import org.azureshed.model.RefusalReason;
import org.azureshed.platform.HttpObjectStore;
import org.azureshed.standin.PlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs claims on two nodes with connections over loopback and the platform stand-in. */
class KeyShellTest {
    private static final long WORK_MILLIS = 1_000;

    /** Time for a renewal after the nodes know each other, and for a listing by the successor. */
    private static final long SUCCESSORS_NAMED_MILLIS = 12_000;

    private static final ContentFingerprint CONTENT =
            ContentFingerprint.of("POST", "/certificates", new byte[] {1});

    private final PlatformStandIn platform = new PlatformStandIn(0);
    private final List<Node> nodes = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        platform.start();
        nodes.add(new Node(0, freeEndpoint()));
        nodes.add(new Node(1, freeEndpoint()));
        List<NodeInfo> infos = nodes.stream().map(node -> node.self).toList();
        for (Node node : nodes) {
            node.loop.start();
            assertTrue(node.shell.start(node.self.control()).isRight());
            node.loop.submit(new ControlEvent.NodesListed(infos));
            node.keys.start();
        }
    }

    @AfterEach
    void stop() {
        for (Node node : nodes) {
            node.keys.close();
            node.shell.close();
            node.loop.stop();
            node.store.close();
        }
        platform.close();
    }

    /** Guards against a second run of a key through another entry side. */
    @Test
    void oneKeyRunsOnceAndRepeatsItsAnswer() throws Exception {
        for (int i = 0; i < 8; i++) {
            String key = key();
            ClaimDecision.Run run = granted(nodes.get(0), key);
            assertEquals(
                    Either.left(RefusalReason.KEY_IN_PROGRESS), claim(nodes.get(1), key, CONTENT));
            ContentFingerprint other = ContentFingerprint.of("POST", "/other", new byte[0]);
            assertEquals(Either.left(RefusalReason.KEY_REUSED), claim(nodes.get(1), key, other));
            StoredAnswer answer =
                    new StoredAnswer(
                            201,
                            Map.of("Content-Type", "text/plain"),
                            ByteString.copyFromUtf8("filed"));
            nodes.get(0).claims.report(run, new Outcome.Completed(201), Optional.of(answer));
            ClaimDecision replay = await(nodes.get(1), key, RefusalReason.KEY_IN_PROGRESS);
            assertEquals(new ClaimDecision.Replay(answer), replay);
        }
    }

    /** Guards against keys that stay blocked after work that did not run. */
    @Test
    void workThatDidNotRunReleasesItsKey() throws Exception {
        String key = key();
        ClaimDecision.Run run = granted(nodes.get(0), key);
        nodes.get(0)
                .claims
                .report(run, new Outcome.NotRun(RefusalReason.QUEUE_FULL), Optional.empty());

        assertInstanceOf(
                ClaimDecision.Run.class, await(nodes.get(1), key, RefusalReason.KEY_IN_PROGRESS));
    }

    /**
     * Guards against keys that run again after a planned stop, and against a take-over that waits
     * for the end of the lease.
     */
    @Test
    void successorTakesOverTheRecordsOfAStoppingOwner() throws Exception {
        Thread.sleep(SUCCESSORS_NAMED_MILLIS);
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            keys.add(key());
            ClaimDecision.Run run = granted(nodes.get(0), keys.get(i));
            nodes.get(0).claims.report(run, new Outcome.Completed(201), Optional.empty());
            // Waits for the report to arrive, because one that arrives after the hand-over does not
            // reach the successor.
            await(nodes.get(0), keys.get(i), RefusalReason.KEY_IN_PROGRESS);
        }
        nodes.get(1).loop.submit(new ControlEvent.StopRequested());
        long stopped = System.nanoTime();

        for (String key : keys) {
            ClaimDecision decision = await(nodes.get(0), key, RefusalReason.KEY_OWNER_UNAVAILABLE);
            assertInstanceOf(ClaimDecision.Replay.class, decision);
        }
        long millis = (System.nanoTime() - stopped) / 1_000_000;
        assertTrue(millis < KeyTiming.STANDARD.leaseMillis(), "took " + millis + " ms");
    }

    private static ClaimDecision.Run granted(Node node, String key) throws Exception {
        ClaimDecision decision = await(node, key, RefusalReason.KEY_OWNER_UNAVAILABLE);
        return assertInstanceOf(ClaimDecision.Run.class, decision);
    }

    /** Repeats the claim until the result is not the given transient refusal. */
    private static ClaimDecision await(Node node, String key, RefusalReason transientReason)
            throws Exception {
        Either<RefusalReason, ClaimDecision> decision = claim(node, key, CONTENT);
        for (int i = 0; i < 200 && decision.equals(Either.left(transientReason)); i++) {
            Thread.sleep(50);
            decision = claim(node, key, CONTENT);
        }
        assertTrue(decision.isRight(), decision.toString());
        return decision.get();
    }

    private static Either<RefusalReason, ClaimDecision> claim(
            Node node, String key, ContentFingerprint content) {
        return node.claims.claim("ministry", "certificates", key, content, "x", WORK_MILLIS);
    }

    private static String key() {
        long random = UUID.randomUUID().getLeastSignificantBits();
        long time = System.currentTimeMillis() << 16 | 0x7000 | random & 0xfff;
        return new UUID(time, random).toString();
    }

    private static Endpoint freeEndpoint() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new Endpoint("127.0.0.1", socket.getLocalPort());
        }
    }

    /** A node without a proxy. */
    private final class Node {
        final NodeInfo self;
        final ControlLoop loop;
        final FleetShell shell;
        final HttpObjectStore store = new HttpObjectStore(platform.uri());
        final KeyShell keys;
        final KeyClaims claims;

        Node(int index, Endpoint control) {
            self =
                    new NodeInfo(
                            new NodeId("n" + index),
                            "region",
                            "zone-" + index,
                            new Endpoint("127.0.0.1", 1_000 + index),
                            new Endpoint("127.0.0.1", 2_000 + index),
                            control,
                            1_796_000_000_000L,
                            1,
                            false,
                            List.of());
            loop =
                    new ControlLoop(
                            new ControlReducer(), ControlState.initial(self), this::carryOut);
            shell =
                    FleetShell.create(
                            event -> loop.submit(new ControlEvent.Membership(event)),
                            effect -> {},
                            (message, replier) -> keys().received(message, replier));
            NodeInstance instance = new NodeInstance(self.id(), self.incarnation());
            keys =
                    new KeyShell(
                            instance,
                            store,
                            shell.transport(),
                            id ->
                                    nodes.stream()
                                            .map(node -> node.self)
                                            .filter(info -> info.id().equals(id))
                                            .map(NodeInfo::control)
                                            .findFirst(),
                            event -> loop.submit(new ControlEvent.Keys(event)));
            claims = new KeyClaims(instance, keys, KeyTiming.STANDARD);
        }

        private KeyShell keys() {
            return keys;
        }

        private void carryOut(Effect effect) {
            switch (effect) {
                case Effect.Membership(var membership) -> shell.carryOut(membership);
                case Effect.Keys(var owned) -> keys.carryOut(owned);
                default -> {
                    // Other effects do not concern claims.
                }
            }
        }
    }
}
