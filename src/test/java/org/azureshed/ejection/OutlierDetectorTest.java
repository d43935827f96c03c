package org.azureshed.ejection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.stream.Stream;
import org.azureshed.model.TargetId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against healthy targets reported as outliers and faulty ones that are missed. */
class OutlierDetectorTest {
    private static final long USUAL_MICROS = 50_000;

    static ClassDigest digest(String name, int samples, int errors, long median) {
        return new ClassDigest(
                name, samples, errors, samples - errors, median, median * 4 / 3, median * 2, 1_000);
    }

    private static ClassDigest page(long median) {
        return digest("page", 40, 0, median);
    }

    /** The digests of a target, by target number and window number. */
    private interface Digests extends BiFunction<Integer, Integer, List<ClassDigest>> {}

    private static Digests firstTarget(ClassDigest faulty) {
        return (target, window) ->
                List.of(target == 0 ? faulty : page(USUAL_MICROS + target * 500));
    }

    static Stream<Arguments> cases() {
        Digests flapping =
                (target, window) ->
                        List.of(
                                page(
                                        target == 0 && window / 3 % 2 == 0
                                                ? 10 * USUAL_MICROS
                                                : USUAL_MICROS));
        Digests oneBadWindow =
                (target, window) ->
                        List.of(
                                page(
                                        target == 0 && window == 5
                                                ? 10 * USUAL_MICROS
                                                : USUAL_MICROS));
        Digests serviceSlow =
                (target, window) ->
                        List.of(page((window > 5 ? 5 : 1) * USUAL_MICROS + target * 500));
        Digests otherMix =
                (target, window) ->
                        target == 0
                                ? List.of(
                                        page(USUAL_MICROS),
                                        digest("export", 400, 0, 9 * USUAL_MICROS))
                                : List.of(
                                        digest("page", 400, 0, USUAL_MICROS),
                                        digest("export", 25, 0, 9 * USUAL_MICROS));
        Digests slowClass =
                (target, window) ->
                        List.of(
                                page(USUAL_MICROS),
                                digest("export", 30, 0, target == 0 ? 900_000 : USUAL_MICROS));
        return Stream.of(
                Arguments.of("ten times slower", 8, 4, true, firstTarget(page(10 * USUAL_MICROS))),
                Arguments.of("twice as slow", 8, 8, true, firstTarget(page(2 * USUAL_MICROS))),
                Arguments.of(
                        "within 1.5 times",
                        8,
                        30,
                        false,
                        firstTarget(page(USUAL_MICROS * 14 / 10))),
                Arguments.of("four peers", 5, 30, false, firstTarget(page(10 * USUAL_MICROS))),
                Arguments.of("five peers", 6, 4, true, firstTarget(page(10 * USUAL_MICROS))),
                Arguments.of(
                        "19 samples",
                        8,
                        30,
                        false,
                        firstTarget(digest("page", 19, 0, 10 * USUAL_MICROS))),
                Arguments.of(
                        "a fifth fails",
                        8,
                        6,
                        true,
                        firstTarget(digest("page", 40, 8, USUAL_MICROS))),
                Arguments.of(
                        "one error",
                        8,
                        30,
                        false,
                        firstTarget(digest("page", 40, 1, USUAL_MICROS))),
                Arguments.of("flapping", 8, 30, true, flapping),
                Arguments.of("one bad window", 8, 20, false, oneBadWindow),
                Arguments.of("whole service slow", 8, 30, false, serviceSlow),
                Arguments.of("other mix of classes", 8, 30, false, otherMix),
                Arguments.of("slow in one class", 8, 6, true, slowClass));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void reportsOnlyOutliers(
            String name, int targets, int windows, boolean expected, Digests digests) {
        assertEquals(expected, found(targets, windows, 0, 1_000, digests));
    }

    /** A digest in several responses is one window, and windows of the cold start are ignored. */
    @ParameterizedTest
    @MethodSource("ignored")
    void ignoresRepeatedAndColdStartWindows(
            String name, long warmFromMillis, long windowStepMillis) {
        assertEquals(
                false,
                found(
                        8,
                        30,
                        warmFromMillis,
                        windowStepMillis,
                        firstTarget(page(10 * USUAL_MICROS))));
    }

    static Stream<Arguments> ignored() {
        return Stream.of(
                Arguments.of("repeated window", 0, 0), Arguments.of("cold start", 30_000, 1_000));
    }

    private static boolean found(
            int targets, int windows, long warmFromMillis, long windowStepMillis, Digests digests) {
        OutlierDetector detector = new OutlierDetector(DetectorTuning.DEFAULT);
        DetectorState state = DetectorState.empty();
        Map<TargetId, Long> comparable = new HashMap<>();
        List<TargetId> ids = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            ids.add(new TargetId("t" + i));
            comparable.put(ids.get(i), warmFromMillis);
        }
        for (int window = 0; window < windows; window++) {
            long now = (window + 1) * 1_000L;
            for (int i = 0; i < targets; i++) {
                TargetDigest digest =
                        new TargetDigest(
                                5_000 + window * windowStepMillis, digests.apply(i, window));
                state = detector.observe(state, ids.get(i), digest, now);
            }
            state = detector.evaluate(state, comparable, now);
            for (int i = 1; i < targets; i++) {
                assertEquals(true, detector.finding(state, ids.get(i), now).isEmpty(), "peer " + i);
            }
        }
        return detector.finding(state, ids.get(0), windows * 1_000L).isPresent();
    }
}
