package org.azureshed.poison;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against poison requests that keep crashing targets and refusals of other requests. */
class PoisonReducerTest {
    private static final RequestFingerprint POISON = new RequestFingerprint(-7);
    private static final RequestFingerprint INNOCENT = new RequestFingerprint(8);
    private static final TargetId TARGET = new TargetId("t");

    private final PoisonReducer reducer = new PoisonReducer();

    private PoisonState apply(PoisonState state, PoisonEvent... events) {
        PoisonState next = state;
        for (PoisonEvent event : events) {
            next = reducer.reduce(next, event).state();
        }
        return next;
    }

    private static PoisonEvent crash(long id, RequestFingerprint... inFlight) {
        return new PoisonEvent.TargetCrashed(new CrashReport(id, "s", TARGET, Set.of(inFlight)));
    }

    /** The event of receiving a node's gossip, encoded and decoded as on the wire. */
    private static PoisonEvent gossip(PoisonState from) {
        return new PoisonEvent.SuspectsReceived(
                SuspectEntry.decode(SuspectEntry.encode(from.gossip())));
    }

    @Test
    void refusesAfterTheSecondCrashReportedByAnyNode() {
        PoisonState first = apply(PoisonState.initial(), crash(1, POISON, INNOCENT));
        PoisonState second = apply(PoisonState.initial(), crash(0xFFFF_FFFF_FFFFL, POISON));
        PoisonState entry = apply(PoisonState.initial(), gossip(first), gossip(second));
        assertTrue(entry.view().refused(POISON));
        assertFalse(entry.view().refused(INNOCENT));
        assertTrue(entry.view().suspect(INNOCENT));
    }

    @Test
    void countsOneCrashOnceHoweverOftenItIsReported() {
        PoisonState host = apply(PoisonState.initial(), crash(1, POISON), crash(1, POISON));
        PoisonState entry = apply(PoisonState.initial(), gossip(host), gossip(host));
        PoisonState back = apply(host, gossip(entry), gossip(entry));
        assertFalse(entry.view().refused(POISON));
        assertFalse(back.view().refused(POISON));
    }

    /** Gossip in any order and with repetitions has to lead to the same view. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void olderGossipDoesNotUndoAClearedEntry(long seed) {
        PoisonState suspect = apply(PoisonState.initial(), crash(1, POISON, INNOCENT));
        PoisonState second = apply(suspect, crash(2, POISON));
        PoisonState cleared = apply(suspect, new PoisonEvent.Completed(INNOCENT, 200));
        List<PoisonEvent> messages = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            messages.addAll(List.of(gossip(suspect), gossip(second), gossip(cleared)));
        }
        Collections.shuffle(messages, new Random(seed));
        PoisonView view = apply(PoisonState.initial(), messages.toArray(PoisonEvent[]::new)).view();
        assertFalse(view.suspect(INNOCENT));
        assertTrue(view.refused(POISON));
    }

    /** Completing a request clears it of the crashes known by then, but not of later ones. */
    @Test
    void aClearedRequestIsSuspectAgainAfterALaterCrash() {
        PoisonState state =
                apply(
                        PoisonState.initial(),
                        crash(1, POISON),
                        new PoisonEvent.Completed(POISON, 200),
                        crash(2, POISON));
        assertTrue(state.view().suspect(POISON));
        assertFalse(state.view().refused(POISON));
        assertTrue(apply(state, crash(3, POISON)).view().refused(POISON));
    }

    @ParameterizedTest
    @CsvSource({"200,false", "404,false", "500,true", "503,true", "429,true"})
    void onlyAProcessedRequestIsCleared(int status, boolean suspect) {
        PoisonState state =
                apply(
                        PoisonState.initial(),
                        crash(1, INNOCENT),
                        new PoisonEvent.Completed(INNOCENT, status));
        assertEquals(suspect, state.view().suspect(INNOCENT));
    }

    @Test
    void entriesExpireAlthoughGossipRepeatsThem() {
        PoisonState a = apply(PoisonState.initial(), crash(1, POISON));
        PoisonState b = PoisonState.initial();
        for (long now = 0; now <= 600_000; now += 1_000) {
            a = apply(a, new PoisonEvent.Tick(now), gossip(b));
            b = apply(b, new PoisonEvent.Tick(now), gossip(a));
        }
        assertFalse(a.view().suspect(POISON) || b.view().suspect(POISON));
    }

    @Test
    void aFloodKeepsRefusedRequestsAndStaysBounded() {
        PoisonState state = apply(PoisonState.initial(), crash(1, POISON), crash(2, POISON));
        for (int i = 0; i < 500; i++) {
            state = apply(state, crash(10 + i, new RequestFingerprint(1_000 + i)));
        }
        assertEquals(PoisonState.MAX_ENTRIES, state.gossip().size());
        assertEquals(1_024, SuspectEntry.encode(state.gossip()).length);
        assertTrue(state.view().refused(POISON));
    }

    /** The entry side must not retry before the host's report has reached it. */
    @Test
    void aLostAttemptIsSuspectUntilTheReportCanArrive() {
        PoisonState state = apply(PoisonState.initial(), new PoisonEvent.AttemptLost(POISON));
        assertTrue(state.view().suspect(POISON));
        assertFalse(state.view().refused(POISON));
        assertFalse(apply(state, new PoisonEvent.Tick(30_000)).view().suspect(POISON));
    }

    @ParameterizedTest
    @CsvSource({"true,0", "false,1"})
    void onlyCrashesWithoutACommonRequestAreALoop(boolean common, int loops) {
        PoisonState state = PoisonState.initial();
        List<PoisonEffect> effects = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            RequestFingerprint other = new RequestFingerprint(100 + i);
            var step = reducer.reduce(state, common ? crash(i, POISON, other) : crash(i, other));
            state = step.state();
            effects.addAll(step.effects());
        }
        assertEquals(
                loops, effects.stream().filter(PoisonEffect.CrashLoop.class::isInstance).count());
    }

    @Test
    void suspectsRunWithoutAnotherSuspect() {
        CrashWatch watch = new CrashWatch(new NodeId("n"), 1);
        watch.announced(TARGET, "s");
        assertTrue(watch.start(TARGET, "1", POISON, true));
        assertFalse(watch.start(TARGET, "2", INNOCENT, true));
        assertFalse(watch.start(TARGET, "3", POISON, true));
        assertTrue(watch.start(TARGET, "4", INNOCENT, false));
        watch.end(TARGET, "1");
        assertTrue(watch.start(TARGET, "5", INNOCENT, true));
    }

    /** The connection breaks before the crash is detected, and the crash may be detected twice. */
    @Test
    void reportsTheRequestsInFlightInACrashOnce() {
        CrashWatch watch = new CrashWatch(new NodeId("n"), 1);
        RequestFingerprint old = new RequestFingerprint(9);
        watch.announced(TARGET, "s");
        watch.start(TARGET, "0", old, false);
        watch.connectionLost(TARGET, "0", 0);
        watch.start(TARGET, "1", POISON, false);
        watch.start(TARGET, "2", INNOCENT, false);
        watch.start(TARGET, "3", new RequestFingerprint(10), false);
        watch.end(TARGET, "3");
        watch.connectionLost(TARGET, "1", 20_000);
        CrashReport report = watch.crashed(TARGET, 21_000).orElseThrow();
        assertEquals(Set.of(POISON, INNOCENT), report.inFlight());
        assertTrue(watch.crashed(TARGET, 21_500).isEmpty());
        watch.announced(TARGET, "s");
        assertNotEquals(report.crashId(), watch.crashed(TARGET, 22_000).orElseThrow().crashId());
    }

    @ParameterizedTest
    @CsvSource({
        "o,r,GET,/a,q,b,true",
        "o,r,GET,/a,q,c,false",
        "or,'',GET,/a,q,b,false",
        "o,r,GET,/aq,'',b,false"
    })
    void fingerprintTellsRequestsApart(
            String organisation,
            String route,
            String method,
            String path,
            String query,
            String body,
            boolean same) {
        byte[] expected = {'b'};
        RequestFingerprint reference = RequestFingerprint.of("o", "r", "GET", "/a", "q", expected);
        RequestFingerprint other =
                RequestFingerprint.of(
                        organisation,
                        route,
                        method,
                        path,
                        query,
                        body.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        assertEquals(same, reference.equals(other));
        byte[] large = Arrays.copyOf(expected, 2 * RequestFingerprint.BODY_PREFIX_BYTES);
        byte[] larger = Arrays.copyOf(expected, 3 * RequestFingerprint.BODY_PREFIX_BYTES);
        assertEquals(
                RequestFingerprint.of("o", "r", "GET", "/a", "q", large),
                RequestFingerprint.of("o", "r", "GET", "/a", "q", larger));
    }
}
