package org.azureshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Stream;
import org.azureshed.model.Outcome;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.UnknownCause;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Load pattern: many callers read the same page when a node is lost. Its lost attempts make the
 * request a suspect, and the floor keeps the targets of the lost node in use.
 */
class DispatcherTest {
    static Stream<Arguments> attempts() {
        return Stream.of(
                // No target has received the suspect, so another one may run it for the first time.
                Arguments.of(true, new Outcome.NotRun(RefusalReason.NODE_UNREACHABLE), true),
                Arguments.of(true, new Outcome.NotRun(RefusalReason.NODE_DRAINING), true),
                Arguments.of(true, new Outcome.NotRun(RefusalReason.TARGET_UNREACHABLE), true),
                // It may have run, and may crash the next target too.
                Arguments.of(true, new Outcome.Unknown(UnknownCause.NODE_CONNECTION_LOST), false),
                // A target runs one suspect at a time; others must not be filled with suspects.
                Arguments.of(true, new Outcome.NotRun(RefusalReason.QUEUE_FULL), false),
                Arguments.of(false, new Outcome.NotRun(RefusalReason.QUEUE_FULL), true),
                Arguments.of(false, new Outcome.Unknown(UnknownCause.NODE_CONNECTION_LOST), true));
    }

    /** Guards against 503 for every reader of a page while a healthy target is left. */
    @ParameterizedTest
    @MethodSource("attempts")
    void suspectGoesOnlyWhereNoTargetReceivedItBefore(
            boolean suspect, Outcome last, boolean allowed) {
        assertEquals(allowed, Dispatcher.mayTryAnotherTarget(suspect, last));
    }
}
