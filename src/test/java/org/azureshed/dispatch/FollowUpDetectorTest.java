package org.azureshed.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against follow-up calls that are classified as first calls, and the reverse. */
class FollowUpDetectorTest {
    private static final long NOW_NANOS = TimeUnit.SECONDS.toNanos(7);

    @ParameterizedTest
    @CsvSource({
        "calls, calls, 5, FOLLOW_UP",
        "calls, calls, 20, FOLLOW_UP",
        // After more than 20 ms, or on another route, a call is a first call.
        "calls, calls, 21, FIRST",
        "calls, others, 5, FIRST"
    })
    void callRightAfterAnAnswerIsAFollowUp(
            String answered, String next, long millis, RequestOrigin expected) {
        FollowUpDetector detector = new FollowUpDetector();
        detector.answered(answered, NOW_NANOS);
        assertEquals(
                expected, detector.origin(next, NOW_NANOS + TimeUnit.MILLISECONDS.toNanos(millis)));
    }

    @Test
    void callBeforeAnyAnswerIsAFirstCall() {
        assertEquals(RequestOrigin.FIRST, new FollowUpDetector().origin("calls", NOW_NANOS));
    }

    /** Two requests run at the same time: each answer is matched with one follow-up call. */
    @Test
    void eachAnswerHasAtMostOneFollowUp() {
        FollowUpDetector detector = new FollowUpDetector();
        detector.answered("calls", NOW_NANOS);
        assertEquals(RequestOrigin.FOLLOW_UP, detector.origin("calls", NOW_NANOS + 1));
        assertEquals(RequestOrigin.FIRST, detector.origin("calls", NOW_NANOS + 2));
    }
}
