package org.azureshed.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against later calls of a run that are treated like first ones, and the reverse. */
class CallChainTest {
    private static final long NOW = TimeUnit.SECONDS.toNanos(7);

    @ParameterizedTest
    @CsvSource({
        "calls, calls, 5, FOLLOW_UP",
        "calls, calls, 50, FOLLOW_UP",
        // Later, or on another route, it begins something new.
        "calls, calls, 51, FIRST",
        "calls, others, 5, FIRST"
    })
    void requestRightAfterAnAnswerFollowsIt(
            String answered, String next, long millis, RequestOrigin expected) {
        CallChain chain = new CallChain();
        chain.answered(answered, NOW);
        assertEquals(expected, chain.origin(next, NOW + TimeUnit.MILLISECONDS.toNanos(millis)));
    }

    @Test
    void firstRequestOfAConnectionFollowsNothing() {
        assertEquals(RequestOrigin.FIRST, new CallChain().origin("calls", NOW));
    }
}
