package org.azureshed.ejection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;
import org.azureshed.ejection.EjectionEffect.Probe;
import org.azureshed.ejection.EjectionEffect.ReadRecord;
import org.azureshed.ejection.EjectionEffect.WriteRecord;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against ejections that break the floor, are based on an outdated record, are decided while
 * the platform is unavailable, or never end.
 */
class EjectionReducerTest {
    private static final String SERVICE = "s";
    private static final NodeId HOST = new NodeId("host");
    private static final TargetId FAULTY = id(0);
    private static final EjectionRecord EMPTY = EjectionRecord.empty(SERVICE);

    private final EjectionReducer reducer = new EjectionReducer();
    private final List<EjectionEffect> effects = new ArrayList<>();
    private EjectionState state = EjectionState.initial(HOST);
    private long now;
    private int slowTargets = 1;

    private static TargetId id(int number) {
        return new TargetId("t" + number);
    }

    private static EjectedTarget entry(int number, Stage stage, double severity) {
        Evidence evidence =
                new Evidence(Evidence.Kind.SLOW, "page", 500_000, 50_000, 40, severity, 9);
        return new EjectedTarget(id(number), HOST, stage, 0, 0, evidence);
    }

    private static EjectionRecord record(EjectedTarget... entries) {
        return new EjectionRecord(SERVICE, List.of(entries));
    }

    private void apply(EjectionEvent event) {
        var step = reducer.reduce(state, event);
        state = step.state();
        effects.addAll(step.effects());
    }

    private void announce(int targets, int notReady, int floorPercent) {
        List<TargetView> views = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            views.add(new TargetView(id(i), HOST, 4, i < targets - notReady));
        }
        apply(new EjectionEvent.ServiceUpdated(SERVICE, floorPercent, 3, views));
    }

    /**
     * Advances the time by seconds, in each of which every target with traffic reports a window.
     */
    private void passSeconds(int seconds) {
        for (int i = 0; i < seconds; i++) {
            now += 1_000;
            for (int target = 0; target < 8; target++) {
                if (state.recordOf(SERVICE).percentOf(id(target)) > 0) {
                    long median = target < slowTargets ? 500_000 : 50_000;
                    ClassDigest digest = OutlierDetectorTest.digest("page", 40, 0, median);
                    apply(
                            new EjectionEvent.DigestReceived(
                                    SERVICE, id(target), new TargetDigest(now, List.of(digest))));
                }
            }
            apply(new EjectionEvent.Tick(now, i));
        }
    }

    private <T> List<T> effects(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private WriteRecord lastWrite() {
        return effects(WriteRecord.class).getLast();
    }

    private void runUntilRead() {
        announce(8, 0, 60);
        for (int i = 0; i < 60 && effects(ReadRecord.class).isEmpty(); i++) {
            passSeconds(1);
        }
        assertEquals(1, effects(ReadRecord.class).size());
    }

    private void runUntilWrite() {
        runUntilRead();
        apply(new EjectionEvent.RecordRead(EMPTY, 0, 7));
        assertEquals(0, lastWrite().expectedVersion());
        assertTrue(lastWrite().record().find(FAULTY).isPresent());
    }

    @Test
    void decidesAgainOnAFreshReadAfterConflict() {
        runUntilWrite();
        apply(new EjectionEvent.WriteConflicted(SERVICE));
        assertEquals(2, effects(ReadRecord.class).size());
        EjectionRecord others =
                record(
                        entry(1, Stage.EJECTED, 9),
                        entry(2, Stage.EJECTED, 9),
                        entry(3, Stage.EJECTED, 9));
        apply(new EjectionEvent.RecordRead(others, 5, 7));
        assertEquals(1, effects(WriteRecord.class).size(), "the floor allows no fourth ejection");
    }

    @ParameterizedTest
    @CsvSource({"true,1", "false,2"})
    void readsTheRecordWhenTheOutcomeOfAWriteIsUnknown(boolean tookEffect, int writes) {
        runUntilWrite();
        apply(new EjectionEvent.AnswerLost(SERVICE));
        EjectionRecord found = tookEffect ? lastWrite().record() : EMPTY;
        apply(new EjectionEvent.RecordRead(found, tookEffect ? 1 : 0, 7));
        assertEquals(writes, effects(WriteRecord.class).size());
    }

    /** A write without any answer must not block further changes. */
    @Test
    void readsAgainWhenNoAnswerComes() {
        runUntilWrite();
        passSeconds(11);
        assertEquals(2, effects(ReadRecord.class).size());
    }

    @Test
    void ejectsNothingWhileThePlatformIsUnavailable() {
        runUntilRead();
        for (int i = 0; i < 10; i++) {
            apply(new EjectionEvent.PlatformUnavailable(SERVICE));
            passSeconds(4);
        }
        assertEquals(0, effects(WriteRecord.class).size());
        assertTrue(state.recordOf(SERVICE).targets().isEmpty());
    }

    /** Targets that drain or start do not count as serving. */
    @ParameterizedTest
    @CsvSource({"0,60,1", "2,60,1", "3,60,0", "0,88,0", "0,100,0"})
    void refusesEjectionBelowTheFloor(int notReady, int floorPercent, int ejected) {
        announce(8, notReady, floorPercent);
        passSeconds(45);
        if (!effects(ReadRecord.class).isEmpty()) {
            apply(new EjectionEvent.RecordRead(EMPTY, 0, 7));
        }
        assertEquals(ejected, effects(WriteRecord.class).size());
    }

    @Test
    void readmitsTheLeastBadTargetWhenCapacityFallsBelowTheFloor() {
        slowTargets = 0;
        announce(8, 0, 60);
        EjectionRecord agreed =
                record(
                        entry(0, Stage.EJECTED, 20),
                        entry(1, Stage.EJECTED, 3),
                        entry(2, Stage.EJECTED, 9));
        apply(new EjectionEvent.RecordReceived(agreed, 3));
        announce(8, 1, 60);
        assertEquals(
                100,
                state.enforcedRecordOf(SERVICE).percentOf(id(1)),
                "at once by this node's own check");
        passSeconds(5);
        apply(new EjectionEvent.RecordRead(agreed, 3, 7));
        assertEquals(
                agreed.with(entry(1, Stage.FULL, 3)).targets(), lastWrite().record().targets());
    }

    @Test
    void removesATargetThatIsGone() {
        announce(8, 0, 60);
        apply(new EjectionEvent.RecordReceived(record(entry(9, Stage.EJECTED, 9)), 3));
        slowTargets = 0;
        passSeconds(55);
        assertEquals(0, effects(ReadRecord.class).size(), "missing for less than 60 s");
        passSeconds(15);
        apply(new EjectionEvent.RecordRead(record(entry(9, Stage.EJECTED, 9)), 3, 7));
        assertEquals(List.of(), lastWrite().record().targets());
    }

    static Stream<Arguments> intervals() {
        return Stream.of(
                Arguments.of(
                        Stage.TENTH,
                        0,
                        (Function<EjectionRecord, Object>)
                                r -> r.find(FAULTY).orElseThrow().stage(),
                        Stage.QUARTER),
                Arguments.of(
                        Stage.HALF,
                        0,
                        (Function<EjectionRecord, Object>)
                                r -> r.find(FAULTY).orElseThrow().stage(),
                        Stage.FULL),
                Arguments.of(
                        Stage.FULL,
                        0,
                        (Function<EjectionRecord, Object>) r -> r.find(FAULTY).isPresent(),
                        false),
                Arguments.of(
                        Stage.TENTH,
                        1,
                        (Function<EjectionRecord, Object>)
                                r -> r.find(FAULTY).orElseThrow().stage(),
                        Stage.EJECTED),
                Arguments.of(
                        Stage.FULL,
                        1,
                        (Function<EjectionRecord, Object>)
                                r -> r.find(FAULTY).orElseThrow().relapses(),
                        1));
    }

    @ParameterizedTest
    @MethodSource("intervals")
    void movesThroughTheStagesOfReadmission(
            Stage stage, int slow, Function<EjectionRecord, Object> part, Object expected) {
        slowTargets = 0;
        announce(8, 0, 60);
        passSeconds(45);
        slowTargets = slow;
        EjectionRecord agreed = record(entry(0, stage, 9));
        apply(new EjectionEvent.RecordReceived(agreed, 3));
        passSeconds(14);
        apply(new EjectionEvent.RecordRead(agreed, 3, 7));
        assertEquals(expected, part.apply(lastWrite().record()));
    }

    /** A probe costs a target 25 ms, so a node sends at most one in a second. */
    @Test
    void probesOncePerSecondAndThenStartsReadmission() {
        slowTargets = 0;
        announce(8, 0, 60);
        EjectionRecord agreed = record(entry(0, Stage.EJECTED, 9), entry(1, Stage.EJECTED, 9));
        apply(new EjectionEvent.RecordReceived(agreed, 3));
        passSeconds(29);
        assertEquals(0, effects(Probe.class).size(), "no probe within 30 s of an ejection");
        for (int i = 0; i < 7; i++) {
            int before = effects(Probe.class).size();
            passSeconds(1);
            List<Probe> probes = effects(Probe.class);
            assertTrue(probes.size() - before <= 1);
            probes.subList(before, probes.size())
                    .forEach(
                            probe ->
                                    apply(
                                            new EjectionEvent.ProbeFinished(
                                                    SERVICE,
                                                    probe.target(),
                                                    probe.target().equals(FAULTY))));
        }
        apply(new EjectionEvent.RecordRead(agreed, 3, 7));
        assertEquals(Stage.TENTH, lastWrite().record().find(FAULTY).orElseThrow().stage());
        assertEquals(Stage.EJECTED, lastWrite().record().find(id(1)).orElseThrow().stage());
    }

    @Test
    void ejectsATargetInACrashLoop() {
        slowTargets = 0;
        announce(8, 0, 60);
        apply(new EjectionEvent.CrashLoopFound(SERVICE, FAULTY, 3));
        passSeconds(3);
        apply(new EjectionEvent.RecordRead(EMPTY, 0, 7));
        assertEquals(
                Evidence.Kind.CRASH_LOOP,
                lastWrite().record().find(FAULTY).orElseThrow().evidence().kind());
    }

    @Test
    void recordRoundTripsThroughJson() {
        EjectionRecord agreed = record(entry(0, Stage.HALF, 9.5), entry(1, Stage.EJECTED, 3));
        byte[] json = EjectionRecordCodec.encode(agreed);
        assertEquals(agreed, EjectionRecordCodec.decode(json).get());
        assertFalse(
                EjectionRecordCodec.decode(
                                "{\"targets\":[{}]}"
                                        .getBytes(java.nio.charset.StandardCharsets.UTF_8))
                        .isRight());
        assertFalse(EjectionRecordCodec.decode(new byte[] {'{'}).isRight());
    }
}
