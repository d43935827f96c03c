package org.azureshed.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.stream.Stream;
import org.azureshed.idempotency.KeyProtocolScenario.Fault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against work that starts twice, and against two owners of a range, under all interleavings
 * of a few faults.
 */
class KeyProtocolEnumerationTest {
    private static final long MAX_STATES = 1_000_000;

    static Stream<KeyProtocolScenario> scenarios() {
        return Stream.of(
                new KeyProtocolScenario("ownership, two faults of any kind", Fault.values())
                        .bounds(3, 6, 2)
                        .attempts(0, 0),
                new KeyProtocolScenario(
                                "ownership through an outage, three faults",
                                Fault.PAUSE,
                                Fault.LOST_ANSWER,
                                Fault.OUTAGE)
                        .bounds(3, 5, 3)
                        .consent(600)
                        .attempts(0, 0),
                new KeyProtocolScenario(
                                "ownership with a replacing node", Fault.OUTAGE, Fault.PAUSE)
                        .bounds(4, 7, 2)
                        .attempts(0, 0),
                new KeyProtocolScenario("senders, one fault, old key", Fault.values())
                        .bounds(2, 5, 1),
                new KeyProtocolScenario("senders, one fault, newer key", Fault.values())
                        .bounds(2, 5, 1)
                        .keyAt(250),
                new KeyProtocolScenario("senders, one fault, key from the future", Fault.values())
                        .bounds(2, 5, 1)
                        .keyAt(450),
                new KeyProtocolScenario("one sender, two faults", Fault.values())
                        .bounds(2, 5, 2)
                        .attempts(1, 0),
                new KeyProtocolScenario(
                                "senders and a planned stop, two faults",
                                Fault.STOP,
                                Fault.DELAY,
                                Fault.DUPLICATE)
                        .bounds(2, 3, 2),
                new KeyProtocolScenario("senders and retention", Fault.DELAY, Fault.PAUSE)
                        .bounds(2, 4, 1)
                        .attempts(1, 2)
                        .retention(100),
                new KeyProtocolScenario(
                                "senders and a repeated attempt, three faults",
                                Fault.DELAY,
                                Fault.DUPLICATE)
                        .bounds(2, 1, 3)
                        .attempts(2, 1)
                        .claimableNodes(1),
                new KeyProtocolScenario(
                                "senders and a restarted host side",
                                Fault.DELAY,
                                Fault.HOST_RESTART)
                        .bounds(2, 4, 2)
                        .claimableNodes(1));
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void startsTheWorkAtMostOnce(KeyProtocolScenario scenario) {
        long begin = System.nanoTime();
        StateSearch.Result result = StateSearch.run(new KeyProtocolModel(scenario), MAX_STATES);

        System.out.printf(
                "scenario=\"%s\" states=%d millis=%d%n",
                scenario.name(), result.states(), (System.nanoTime() - begin) / 1_000_000);
        assertEquals(Optional.empty(), result.violation(), () -> String.join("\n", result.trace()));
    }
}
