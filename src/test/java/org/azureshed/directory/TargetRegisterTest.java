package org.azureshed.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.azureshed.model.TargetState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against late heartbeats that bring back a target which left or was started again. */
class TargetRegisterTest {
    private static final String ADDRESS = "10.0.0.1:8301";
    private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(6);

    private sealed interface Step {
        record Beat(String id, long born, long sequence, TargetState state, String address)
                implements Step {}

        record Leave(String id, long born) implements Step {}

        record Restore(String id, long born, Condition condition) implements Step {}

        record Wait(long seconds) implements Step {}
    }

    private static Step beat(String id, long born, long sequence) {
        return new Step.Beat(id, born, sequence, TargetState.READY, ADDRESS);
    }

    private static Step draining(String id, long born, long sequence) {
        return new Step.Beat(id, born, sequence, TargetState.DRAINING, ADDRESS);
    }

    static Stream<Arguments> sessions() {
        return Stream.of(
                Arguments.of(List.of(beat("a", 5, 1)), "a SERVING"),
                Arguments.of(List.of(beat("a", 5, 2), draining("a", 5, 1)), "a SERVING"),
                Arguments.of(List.of(draining("a", 5, 2), beat("a", 5, 1)), "a LEAVING"),
                Arguments.of(List.of(draining("a", 5, 2), beat("a", 5, 3)), "a SERVING"),
                // A heartbeat of an earlier start arrives after the next one has registered.
                Arguments.of(List.of(beat("b", 9, 1), beat("a", 5, 80)), "b SERVING"),
                // The same id starts again; its sequence begins anew.
                Arguments.of(List.of(beat("a", 5, 80), beat("a", 9, 1)), "a SERVING"),
                Arguments.of(
                        List.of(beat("a", 5, 80), beat("a", 9, 1), draining("a", 5, 81)),
                        "a SERVING"),
                // After a departure only a new start counts.
                Arguments.of(
                        List.of(beat("a", 5, 1), new Step.Leave("a", 0), beat("a", 5, 2)),
                        "a GONE"),
                Arguments.of(
                        List.of(beat("a", 5, 1), new Step.Leave("a", 0), beat("a", 9, 1)),
                        "a SERVING"),
                // A late departure of the earlier start does not end the present one.
                Arguments.of(List.of(beat("a", 9, 1), new Step.Leave("a", 5)), "a SERVING"),
                // A target at another address is not the one beside this node.
                Arguments.of(
                        List.of(
                                beat("a", 5, 1),
                                new Step.Beat("x", 9, 1, TargetState.READY, "10.0.0.2:8301")),
                        "a SERVING"),
                // What the node published before its restart.
                Arguments.of(List.of(new Step.Restore("a", 5, Condition.SERVING)), "a SERVING"),
                Arguments.of(
                        List.of(new Step.Restore("a", 5, Condition.GONE), beat("a", 5, 7)), "none"),
                Arguments.of(
                        List.of(new Step.Restore("a", 5, Condition.LEAVING), beat("a", 9, 1)),
                        "a SERVING"),
                // A silent target is gone until it is heard again.
                Arguments.of(List.of(beat("a", 5, 1), new Step.Wait(7)), "a GONE"),
                Arguments.of(
                        List.of(beat("a", 5, 1), new Step.Wait(7), beat("a", 5, 2)), "a SERVING"));
    }

    @ParameterizedTest
    @MethodSource("sessions")
    void latestStartCounts(List<Step> steps, String expected) {
        TargetRegister register = new TargetRegister(ADDRESS, SILENCE_NANOS);
        long now = 0;
        for (Step step : steps) {
            switch (step) {
                case Step.Beat beat ->
                        register.apply(
                                new Heartbeat(
                                        beat.id(),
                                        beat.born(),
                                        beat.sequence(),
                                        beat.address(),
                                        "shop",
                                        4,
                                        beat.state(),
                                        0),
                                now);
                case Step.Leave leave -> register.depart(leave.id(), leave.born());
                case Step.Restore restore ->
                        register.restore(
                                new TargetEntry(
                                        restore.id(),
                                        restore.born(),
                                        "shop",
                                        4,
                                        restore.condition()),
                                now);
                case Step.Wait wait -> now += TimeUnit.SECONDS.toNanos(wait.seconds());
            }
        }
        String actual =
                register.current(now)
                        .map(entry -> entry.id() + ' ' + entry.condition())
                        .orElse("none");
        assertEquals(expected, actual);
    }
}
