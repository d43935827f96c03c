package org.azureshed.ejection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.azureshed.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against measurements that count failures that the target did not cause, or that hide a
 * failing target.
 */
class HostMeterTest {
    private static final TargetId TARGET = new TargetId("t");
    private final HostMeter meter = new HostMeter();
    private long now = 1_000_000;

    private void run(int count, long micros, HostMeter.Result result) {
        for (int i = 0; i < count; i++) {
            long token = meter.started(TARGET, "page", now);
            now += micros;
            meter.finished(token, result, now);
        }
    }

    private Optional<ClassDigest> digest() {
        return meter.digest(TARGET, now).map(digest -> digest.classes().get(0));
    }

    @ParameterizedTest
    @CsvSource({
        "NOT_RUN,20,0", // A shed request is not an error.
        "CANCELLED,20,0", // An early cancellation would make the target look fast.
        "ERROR,30,10",
        "OK,30,0"
    })
    void countsOnlyResultsOfTheTarget(HostMeter.Result result, int samples, int errors) {
        run(20, 20_000, HostMeter.Result.OK);
        run(10, 10_000, result);
        assertEquals(samples, digest().orElseThrow().samples());
        assertEquals(errors, digest().orElseThrow().errors());
        assertEquals(20_000, digest().orElseThrow().p90Micros());
    }

    /** Without stuck requests, a target that never answers would have no samples. */
    @Test
    void stuckRequestsAreSamples() {
        meter.started(TARGET, "page", now);
        now += 5_000_000;
        assertEquals(5_000_000, digest().orElseThrow().medianMicros());
    }

    /** A slow target times out; without these times it would have too few samples to evaluate. */
    @Test
    void timeOutsAreServiceTimes() {
        run(20, 20_000, HostMeter.Result.OK);
        run(20, 2_000_000, HostMeter.Result.ERROR);
        assertEquals(2_000_000, digest().orElseThrow().medianMicros());
    }

    /** Rare requests need a longer window, but old samples have to expire. */
    @Test
    void windowGrowsUntilItHasEnoughSamples() {
        run(100, 500_000, HostMeter.Result.OK);
        assertEquals(20, digest().orElseThrow().samples());
        now += 60_000_000;
        assertTrue(digest().isEmpty());
    }

    @Test
    void digestRoundTripsThroughText() {
        run(30, 20_000, HostMeter.Result.OK);
        TargetDigest digest =
                new TargetDigest(
                        now,
                        List.of(
                                digest().orElseThrow(),
                                new ClassDigest("a,b;c d", 1, 1, 0, 0, 0, 0, 9)));
        assertEquals(Optional.of(digest), TargetDigest.parse(digest.encode()));
    }

    /** During an upgrade some nodes still send digests without totals. */
    @Test
    void digestOfAnEarlierVersionIsRead() {
        ClassDigest page = new ClassDigest("page", 40, 1, 39, 51_000, 72_000, 98_000, 1_000);
        assertEquals(
                Optional.of(new TargetDigest(52_000, List.of(page))),
                TargetDigest.parse("52000;page,40,1,39,51000,72000,98000,1000"));
    }

    /** Headers come from other processes and may be malformed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "x",
                "1;a,1",
                "1;a,1,2,1,1,1,1,1",
                "1;,1,0,1,1,1,1,1",
                "1;a,1,0,1,2,1,1,1"
            })
    void malformedTextIsRefused(String text) {
        assertEquals(Optional.empty(), TargetDigest.parse(text));
    }
}
