package org.azureshed.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Load pattern: callers keep sending to a stopping node. Guards against requests that are taken
 * late in the grace period and cut off at its end.
 */
class StopScheduleTest {
    private static final long START_NANOS = Long.MAX_VALUE - 1_000_000_000L;

    private static long at(long millis) {
        return START_NANOS + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @ParameterizedTest(name = "grace {0}: arrival {1}, deadline {2}, now {3}")
    @CsvSource({
        // Callers that cannot know of the stop are served, whatever their deadline.
        "6000, -500, 9000, 0, true",
        "6000, 2200, 9000, 2200, true",
        // Later, or with no time left for a run, only what must end before the process does.
        "6000, 2400, 9000, 2400, false",
        "6000, 2400, 5001, 2400, false",
        "6000, 2400, 5000, 2400, true",
        "6000, 4500, 4900, 4500, true",
        "6000, 1000, 9000, 3900, true",
        "6000, 1000, 9000, 4000, false",
        "6000, 1000, 5000, 4000, true",
        // A request that was sent more than 3 s after the signal counts as cut off.
        "10000, 3000, 11000, 3000, false",
        "10000, 3000, 8900, 3000, true",
        // No time at all.
        "500, 0, 900, 0, false",
        "0, 0, 0, 0, true",
    })
    void onlyRequestsThatCanEndAreTaken(
            long graceMillis, long arrival, long deadline, long now, boolean taken) {
        StopSchedule schedule = StopSchedule.of(START_NANOS, graceMillis);
        assertEquals(taken, schedule.mayStart(at(arrival), at(deadline), at(now)));
    }
}
