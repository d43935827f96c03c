package org.azureshed.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs of distribution reducers that exchange events in one thread. */
class DistributionReducerTest {
    private final DistributionReducer reducer = new DistributionReducer();
    private final List<DistributionState> states = new ArrayList<>();
    private final List<ContentStore> stores = new ArrayList<>();
    private final List<DistributionEffect> otherEffects = new ArrayList<>();
    private final List<Runnable> pending = new ArrayList<>();
    private boolean platformUp = true;

    /**
     * Guards against a node that stays behind, returns to a lower number, or takes bytes that do
     * not match, when messages are late, repeated and reordered and the platform becomes
     * unavailable.
     */
    @ParameterizedTest
    @CsvSource({"5, 1", "5, 2", "50, 3", "50, 4", "300, 5"})
    void allNodesReachHighestNumberAndNeverReturn(int nodes, long seed) {
        Random random = new Random(seed);
        start(nodes);
        List<Announcement> announced = new ArrayList<>();
        for (int round = 0; round < 90; round++) {
            if (round % 10 == 0 && round < 50) {
                announced.add(announce(round / 10 + 1));
                submit(0, new DistributionEvent.IndexRead(last(announced), round + 1));
            }
            platformUp = round < 45;
            for (int node = 0; node < nodes; node++) {
                submit(node, new DistributionEvent.Tick(round * 1_000L, random.nextLong()));
                int peer = random.nextInt(nodes);
                NodeId sender = states.get(node).self();
                states.get(node).latest().ifPresent(known -> deliver(peer, sender, known));
                Announcement old = announced.get(random.nextInt(announced.size()));
                if (random.nextInt(20) == 0) {
                    deliver(peer, sender, new Announcement(old.number(), old.manifest(), true));
                }
            }
            runPending(random);
        }
        for (DistributionState state : states) {
            assertEquals(5, state.numberInForce(), () -> "" + state);
        }
    }

    /** Guards against a conflicting preset that is adopted, not reported or reported repeatedly. */
    @Test
    void keepsKnownDigestOfSameNumber() {
        start(1);
        Announcement known = announce(3);
        submit(0, new DistributionEvent.IndexRead(Optional.of(known), 1));
        Announcement other = new Announcement(3, digest("other"), true);
        for (int i = 0; i < 3; i++) {
            submit(0, new DistributionEvent.AnnouncementReceived(node(9), endpoint(9), other));
        }
        assertEquals(known.manifest(), states.get(0).latest().orElseThrow().manifest());
        assertEquals(
                List.of(
                        new DistributionEffect.ReportConflict(
                                3, known.manifest(), other.manifest(), Optional.of(node(9)))),
                otherEffects.stream()
                        .filter(DistributionEffect.ReportConflict.class::isInstance)
                        .toList());
    }

    /**
     * Guards against a platform restored from an older copy that is not corrected or is trusted.
     */
    @ParameterizedTest
    @CsvSource({"0, 0", "2, 7"})
    void writesHigherNumberBack(long platformNumber, long version) {
        start(1);
        Announcement inForce = announce(5);
        submit(0, new DistributionEvent.IndexRead(Optional.of(inForce), 4));
        runPending(new Random(1));
        Optional<Announcement> older =
                platformNumber == 0 ? Optional.empty() : Optional.of(announce(platformNumber));
        submit(0, new DistributionEvent.IndexRead(older, version));
        otherEffects.clear();
        for (int second = 1; second <= 60; second++) {
            submit(0, new DistributionEvent.Tick(second * 1_000L, second * 77L));
            boolean early = second < 3 && !otherEffects.isEmpty();
            assertFalse(early, "a lower number was written over at once");
        }
        assertEquals(5, states.get(0).numberInForce());
        DistributionEffect.WriteBack back = (DistributionEffect.WriteBack) otherEffects.get(0);
        assertEquals(5, back.number());
        assertEquals(version, back.expectedVersion());
        assertTrue(otherEffects.size() <= 60 / 5, otherEffects.size() + " writes in a minute");
    }

    /** Guards against too many or too few watches on the platform. */
    @ParameterizedTest
    @CsvSource({"1, 1", "3, 3", "240, 3"})
    void relaysAreThreePerZone(int nodes, int relays) {
        start(nodes);
        assertEquals(relays, states.stream().filter(DistributionState::relay).count());
        assertEquals(relays, otherEffects.size());
    }

    /** Guards against contents that are stored under a wrong digest. */
    @Test
    void storeChecksDigest() {
        ContentStore store = new ContentStore();
        assertTrue(store.put(digest("a"), bytes("b")).isLeft());
        assertTrue(store.get(digest("a")).isEmpty());
        assertTrue(store.put(digest("a"), bytes("a")).isRight());
    }

    private void start(int nodes) {
        List<NodeId> ids = IntStream.range(0, nodes).mapToObj(i -> node(i)).toList();
        // Node 0 reads the platform in these tests, so it gets the id that ranks first as a relay.
        List<NodeId> ranked = new ArrayList<>(ids);
        ranked.sort(java.util.Comparator.comparingInt(id -> Relays.rank(id, ids)));
        for (int i = 0; i < nodes; i++) {
            states.add(DistributionState.initial(ranked.get(i), i));
            stores.add(new ContentStore());
            submit(i, new DistributionEvent.ZoneChanged(ids));
        }
    }

    private void deliver(int to, NodeId from, Announcement announcement) {
        pending.add(
                () ->
                        submit(
                                to,
                                new DistributionEvent.AnnouncementReceived(
                                        from, endpoint(index(from)), announcement)));
    }

    /** Runs pending actions in random order, some of them twice and some in a later pass. */
    private void runPending(Random random) {
        for (int pass = 0; pass < 12 && !pending.isEmpty(); pass++) {
            List<Runnable> batch = new ArrayList<>(pending);
            pending.clear();
            Collections.shuffle(batch, random);
            for (Runnable action : batch) {
                switch (random.nextInt(10)) {
                    case 0 -> pending.add(action);
                    case 1 -> {
                        action.run();
                        action.run();
                    }
                    default -> action.run();
                }
            }
        }
    }

    private void submit(int node, DistributionEvent event) {
        DistributionState before = states.get(node);
        var step = reducer.reduce(before, event);
        states.set(node, step.state());
        assertTrue(step.state().numberInForce() >= before.numberInForce());
        assertTrue(step.state().latestNumber() >= before.latestNumber());
        for (DistributionEffect effect : step.effects()) {
            switch (effect) {
                case DistributionEffect.FetchFromPeer(var peer, var to, var digest, var manifest) ->
                        pending.add(
                                () ->
                                        fetched(
                                                node,
                                                digest,
                                                manifest,
                                                Optional.of(peer),
                                                stores.get(to.port() - 1).get(digest)));
                case DistributionEffect.FetchFromPlatform(var digest, var manifest) ->
                        pending.add(
                                () ->
                                        fetched(
                                                node,
                                                digest,
                                                manifest,
                                                Optional.empty(),
                                                platform(digest)));
                case DistributionEffect.Activate(long number, var manifest, var chunks) ->
                        chunks.forEach(
                                chunk -> assertTrue(stores.get(node).get(chunk).isPresent()));
                case DistributionEffect.Retain(var digests) -> stores.get(node).retain(digests);
                case DistributionEffect.Announce announce -> {
                    // The test sends announcements to peers in its own rounds.
                }
                default -> otherEffects.add(effect);
            }
        }
    }

    private void fetched(
            int node,
            ContentDigest digest,
            boolean manifest,
            Optional<NodeId> source,
            Optional<byte[]> content) {
        boolean stored =
                content.isPresent() && stores.get(node).put(digest, content.get()).isRight();
        if (!stored) {
            submit(node, new DistributionEvent.FetchFailed(digest, source));
        } else if (manifest) {
            String text = new String(content.get(), StandardCharsets.UTF_8);
            List<ContentDigest> chunks = text.lines().map(ContentDigest::new).toList();
            submit(node, new DistributionEvent.ManifestStored(digest, chunks));
        } else {
            submit(node, new DistributionEvent.ChunkStored(digest));
        }
    }

    /** Contents on the platform: 3 chunks for each number, of which 2 change. */
    private Optional<byte[]> platform(ContentDigest digest) {
        for (long number = 1; platformUp && number <= 5; number++) {
            if (digest.equals(digest(manifest(number)))) {
                return Optional.of(bytes(manifest(number)));
            }
            for (String chunk : chunks(number)) {
                if (digest.equals(digest(chunk))) {
                    return Optional.of(bytes(chunk));
                }
            }
        }
        return Optional.empty();
    }

    private static Optional<Announcement> last(List<Announcement> announced) {
        return Optional.of(announced.get(announced.size() - 1));
    }

    private static Announcement announce(long number) {
        return new Announcement(number, digest(manifest(number)), false);
    }

    private static List<String> chunks(long number) {
        return List.of("common", "chunk a of " + number, "chunk b of " + number);
    }

    private static String manifest(long number) {
        return String.join("\n", chunks(number).stream().map(c -> digest(c).hex()).toList());
    }

    private static ContentDigest digest(String text) {
        return ContentDigest.of(bytes(text));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static NodeId node(int index) {
        return new NodeId("n" + index);
    }

    private int index(NodeId id) {
        for (int i = 0; i < states.size(); i++) {
            if (states.get(i).self().equals(id)) {
                return i;
            }
        }
        return 0;
    }

    private static Endpoint endpoint(int index) {
        return new Endpoint("127.0.0.1", index + 1);
    }
}
