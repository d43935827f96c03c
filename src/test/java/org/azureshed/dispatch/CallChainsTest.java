package org.azureshed.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against later calls of a run that are treated like first ones, and the reverse. */
class CallChainsTest {
    private static final long NOW = TimeUnit.SECONDS.toNanos(7);

    @ParameterizedTest
    @CsvSource({
        "calls, calls, 5, FOLLOW_UP",
        "calls, calls, 20, FOLLOW_UP",
        // Later, or on another route, it begins something new.
        "calls, calls, 21, FIRST",
        "calls, others, 5, FIRST"
    })
    void requestRightAfterAnAnswerFollowsIt(
            String answered, String next, long millis, RequestOrigin expected) {
        CallChains chains = new CallChains();
        chains.answered(answered, NOW);
        assertEquals(expected, chains.origin(next, NOW + TimeUnit.MILLISECONDS.toNanos(millis)));
    }

    @Test
    void requestBeforeAnyAnswerFollowsNothing() {
        assertEquals(RequestOrigin.FIRST, new CallChains().origin("calls", NOW));
    }

    /** Two runs at once: each answer is followed by one call. */
    @Test
    void eachAnswerIsFollowedOnce() {
        CallChains chains = new CallChains();
        chains.answered("calls", NOW);
        assertEquals(RequestOrigin.FOLLOW_UP, chains.origin("calls", NOW + 1));
        assertEquals(RequestOrigin.FIRST, chains.origin("calls", NOW + 2));
    }
}
