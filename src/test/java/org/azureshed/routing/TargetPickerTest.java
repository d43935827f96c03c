package org.azureshed.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests to targets that are loaded, slow, failing, cold, tried or ejected. */
class TargetPickerTest {
    private static final int PICKS = 4_000;

    private final List<Candidate> fleet = Fleet.of(8);
    private final TargetPicker picker = new TargetPicker(Fleet.node("e", "zone9", List.of()));
    private final Random random = new Random(1);
    private long now = TimeUnit.HOURS.toNanos(1);

    @ParameterizedTest
    @CsvSource({"16,10000,0", "0,100000,0", "0,1000,0.95", "0,0,1"})
    void aLoadedSlowOrFailingTargetGetsFewRequests(int queued, long medianMicros, double errors) {
        Map<TargetId, Integer> counts =
                count(
                        fleet,
                        id ->
                                id.value().equals("t0")
                                        ? report(queued, medianMicros, errors)
                                        : report(0, 10_000, 0));

        assertTrue(counts.getOrDefault(id(0), 0) < PICKS / 8 / 4, counts.toString());
    }

    @Test
    void shortWorkAvoidsATargetWhoseSlotsAreHeldByLongWork() {
        LoadReport full = new LoadReport(4, 4, 4, 0, TargetState.READY, 10_000, 0, 64);
        LoadReport busy = new LoadReport(4, 0, 4, 0, TargetState.READY, 10_000, 0, 64);

        Map<TargetId, Integer> counts = count(fleet, id -> id.value().equals("t0") ? full : busy);

        assertTrue(counts.getOrDefault(id(0), 0) < PICKS / 8 / 4, counts.toString());
    }

    @Test
    void anOldReportLosesItsWeight() {
        count(fleet, id -> id.value().equals("t0") ? report(16, 10_000, 0) : report(0, 10_000, 0));
        now += TimeUnit.SECONDS.toNanos(2);

        int picked = 0;
        for (int i = 0; i < PICKS; i++) {
            Pick pick = pick(fleet, Set.of(), id -> 100).orElseThrow();
            picked += pick.candidate().target().id().equals(id(0)) ? 1 : 0;
            pick.finish();
        }
        assertTrue(picked > PICKS / 8 / 2, "picked " + picked);
    }

    @Test
    void ownRequestsSinceTheReportAreSpread() {
        Map<TargetId, Integer> outstanding = new HashMap<>();
        for (int i = 0; i < 64; i++) {
            Pick pick = pick(fleet, Set.of(), id -> 100).orElseThrow();
            outstanding.merge(pick.candidate().target().id(), 1, Integer::sum);
        }
        outstanding.forEach((id, n) -> assertTrue(n <= 12, outstanding.toString()));
    }

    @Test
    void theOwnZoneIsPreferredUntilItIsLoaded() {
        TargetPicker local = new TargetPicker(Fleet.node("e", "zone0", List.of()));
        PickRequest request = new PickRequest(fleet, 1, Set.of(), Set.of(), false, id -> 100);
        int own = 0;
        for (int i = 0; i < PICKS; i++) {
            Pick pick = local.pick(request, random.nextLong(), now).orElseThrow();
            own += pick.candidate().node().availabilityZone().equals("zone0") ? 1 : 0;
            pick.report(report(0, 10_000, 0), now);
            pick.finish();
        }
        assertTrue(own > PICKS * 0.6, "own zone " + own);
        int ownOutstanding = 0;
        for (int i = 0; i < 64; i++) {
            Pick pick = local.pick(request, random.nextLong(), now).orElseThrow();
            ownOutstanding += pick.candidate().node().availabilityZone().equals("zone0") ? 1 : 0;
        }
        assertTrue(
                ownOutstanding < 42, "of 64 outstanding requests, own zone has " + ownOutstanding);
    }

    @ParameterizedTest
    @CsvSource({"0,0,0", "10,0.01,0.2", "100,0.6,1.4"})
    void weightsAreRespected(int percent, double least, double most) {
        Map<TargetId, Integer> counts = new HashMap<>();
        for (int i = 0; i < PICKS; i++) {
            Pick pick =
                    pick(fleet, Set.of(), id -> id.value().equals("t0") ? percent : 100)
                            .orElseThrow();
            counts.merge(pick.candidate().target().id(), 1, Integer::sum);
            pick.finish();
        }
        double share = counts.getOrDefault(id(0), 0) / (PICKS / 8.0);
        assertTrue(share >= least && share <= most, "share " + share);
    }

    @Test
    void aTargetThatBecameReadyStartsSlowly() {
        List<Candidate> cold = new ArrayList<>(fleet);
        cold.set(0, Fleet.candidate(0, TargetState.STARTING));
        count(cold, id -> report(1, 10_000, 0));

        int early = count(fleet, id -> report(1, 10_000, 0)).getOrDefault(id(0), 0);
        now += TimeUnit.SECONDS.toNanos(10);
        int later = count(fleet, id -> report(1, 10_000, 0)).getOrDefault(id(0), 0);

        assertTrue(early < PICKS / 8 / 3, "early " + early);
        assertTrue(later > PICKS / 8 / 2, "later " + later);
    }

    @Test
    void triedTargetsAreNotChosenAgain() {
        Set<TargetId> tried = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            TargetId next = pick(fleet, tried, id -> 100).orElseThrow().candidate().target().id();
            assertTrue(tried.add(next), next + " was tried before");
        }
        assertTrue(pick(fleet, tried, id -> 100).isEmpty());
    }

    @Test
    void otherRegionsServeWhenEveryPathInTheOwnOneIsAvoided() {
        List<Candidate> candidates = new ArrayList<>(fleet);
        candidates.add(Fleet.inRegion("south", 8));
        Set<NodeId> avoided = new HashSet<>();
        fleet.forEach(candidate -> avoided.add(candidate.node().id()));
        PickRequest request = new PickRequest(candidates, 1, Set.of(), avoided, false, id -> 100);

        assertEquals(id(8), picker.pick(request, 1, now).orElseThrow().candidate().target().id());
    }

    @ParameterizedTest
    @CsvSource({"56,2400,8", "8,1,8", "8,2400,4", "11,10,11", "3,2400,3", "5000,2400,729"})
    void theSubsetBoundsConnections(int targets, int entryNodes, int size) {
        assertEquals(size, Subset.size(targets, entryNodes));
    }

    @Test
    void theSubsetChangesLittleWhenATargetLeaves() {
        List<Candidate> large = Fleet.of(56);
        List<Candidate> before = Subset.of(Fleet.node("e", "z", List.of()).id(), large, 2400);
        large.remove(before.getFirst());
        List<Candidate> after = Subset.of(Fleet.node("e", "z", List.of()).id(), large, 2400);

        assertTrue(after.containsAll(before.subList(1, before.size())));
    }

    private Map<TargetId, Integer> count(
            List<Candidate> candidates, java.util.function.Function<TargetId, LoadReport> report) {
        Map<TargetId, Integer> counts = new HashMap<>();
        for (int i = 0; i < PICKS; i++) {
            now += TimeUnit.MICROSECONDS.toNanos(100);
            Pick pick = pick(candidates, Set.of(), id -> 100).orElseThrow();
            TargetId target = pick.candidate().target().id();
            counts.merge(target, 1, Integer::sum);
            pick.report(report.apply(target), now);
            pick.finish();
        }
        return counts;
    }

    private Optional<Pick> pick(
            List<Candidate> candidates, Set<TargetId> tried, ToIntFunction<TargetId> weights) {
        return picker.pick(
                new PickRequest(candidates, 1, tried, Set.of(), false, weights),
                random.nextLong(),
                now);
    }

    private static LoadReport report(int queued, long medianMicros, double errors) {
        return new LoadReport(
                queued > 0 ? 4 : 0, 0, 4, queued, TargetState.READY, medianMicros, errors, 64);
    }

    private static TargetId id(int index) {
        return new TargetId("t" + index);
    }
}
