package org.azureshed.ejection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azureshed.model.TargetId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a failing target that is missed because routing avoids it, and against a healthy
 * one that is reported because of a few random errors.
 */
class SparseErrorsTest {
    private static final TargetId TARGET = new TargetId("t0");

    @ParameterizedTest
    @CsvSource({"0,4,0.5,1", "2,4,0.5,0.6875", "4,4,0.1,0.0001", "1,3,1,1"})
    void probabilityIsExact(int errors, int samples, double share, double probability) {
        assertEquals(probability, SparseErrors.probabilityOfAtLeast(errors, samples, share), 1e-12);
    }

    @ParameterizedTest(name = "{0} of {1} with {2} of 100 at the peers")
    @CsvSource({
        "2,4,0,true",
        "1,4,0,false",
        "2,9,0,false",
        "3,9,0,true",
        "2,4,5,false", // Less significant, since the peers fail too.
        "4,4,5,true",
        "9,9,90,false"
    })
    void comparesWithThePeers(int errors, int samples, int peerErrors, boolean outlier) {
        ClassDigest peer = OutlierDetectorTest.digest("page", 100, peerErrors, 50_000);
        List<ClassDigest> peers = Collections.nCopies(5, peer);
        assertEquals(outlier, SparseErrors.compare("page", samples, errors, peers).isPresent());
    }

    /** Every 20 s the target gets a burst of requests, half of which fail. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "two bursts, 7, 1, 4, 0, 41, true",
        "one burst is never enough, 7, 1, 4, 0, 39, false",
        "one burst in many digests, 7, 8, 4, 0, 19, false",
        "four peers, 5, 1, 4, 0, 100, false",
        "one error in a burst, 7, 1, 1, 0, 100, false",
        "cold start, 7, 1, 4, 50, 69, false",
        "cold start is over, 7, 1, 4, 50, 81, true"
    })
    void findsAFailingTargetWithFewRequests(
            String name,
            int targets,
            int digestsPerBurst,
            int errors,
            int warmFromSeconds,
            int seconds,
            boolean expected) {
        OutlierDetector detector = new OutlierDetector(DetectorTuning.DEFAULT);
        DetectorState state = DetectorState.empty();
        Map<TargetId, Long> comparable = new HashMap<>();
        for (int i = 0; i < targets; i++) {
            comparable.put(new TargetId("t" + i), warmFromSeconds * 1_000L);
        }
        ClassDigest busy = OutlierDetectorTest.digest("page", 40, 0, 50_000);
        boolean found = false;
        for (int second = 0; second <= seconds; second++) {
            long now = second * 1_000L;
            for (int i = 1; i < targets; i++) {
                state =
                        detector.observe(
                                state,
                                new TargetId("t" + i),
                                new TargetDigest(now, List.of(busy)),
                                now);
            }
            // Bursts begin at 0 s, 20 s and so on; one or several digests report a burst.
            if (second % 20 < digestsPerBurst) {
                double bursts = second / 20 + (second % 20 + 1.0) / digestsPerBurst;
                ClassDigest own =
                        new ClassDigest(
                                "page",
                                8,
                                errors,
                                8 - errors,
                                50_000,
                                60_000,
                                70_000,
                                30_000,
                                (long) (8 * bursts),
                                (long) (errors * bursts));
                TargetDigest digest = new TargetDigest(now, List.of(own));
                state = detector.observe(state, TARGET, digest, now);
            }
            state = detector.evaluate(state, comparable, now);
            found |= detector.finding(state, TARGET, now).isPresent();
        }
        assertEquals(expected, found);
    }
}
