package org.azureshed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.fail;

import io.netty.util.ResourceLeakDetector;
import java.io.InputStream;
import java.lang.reflect.Constructor;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that whole nodes keep the platform's rules whatever the parties around them do. A schedule
 * that fails is printed with as few steps as still fail.
 *
 * <p>Plays {@code -Dsimulation.count} schedules from the seed {@code -Dsimulation.first} on, or as
 * many as fit into {@code -Dsimulation.seconds}.
 */
class FleetSimulationTest {
    private static final long FIRST = Long.getLong("simulation.first", 1);
    private static final long COUNT = Long.getLong("simulation.count", 100);
    private static final long SECONDS = Long.getLong("simulation.seconds", Long.MAX_VALUE);

    private static Constructor<?> nodes;
    private static ResourceLeakDetector.Level formerLevel;

    @BeforeAll
    static void loadNodes() throws ReflectiveOperationException {
        // A killed process releases nothing.
        formerLevel = ResourceLeakDetector.getLevel();
        ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.DISABLED);
        nodes =
                new NodeClassLoader()
                        .loadClass("org.azureshed.platform.SimulatedNode")
                        .getConstructor(NodeUnderTest.Settings.class, AtomicReference.class);
    }

    @AfterAll
    static void restoreLeakDetection() {
        ResourceLeakDetector.setLevel(formerLevel);
    }

    private static List<Journal.Violation> violations(Schedule schedule) {
        return new FleetSimulation(nodes, schedule).play().violations();
    }

    @Test
    void rulesHoldUnderGeneratedSchedules() {
        long start = System.nanoTime();
        long seed = FIRST;
        while (seed < FIRST + COUNT
                && TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - start) < SECONDS) {
            Schedule schedule = Schedule.generate(seed);
            List<Journal.Violation> violations = violations(schedule);
            if (!violations.isEmpty()) {
                reportSmallest(schedule, violations.getFirst().rule());
            }
            seed++;
        }
        System.out.println("schedules that hold: " + (seed - FIRST) + " from seed " + FIRST);
    }

    private static void reportSmallest(Schedule schedule, String rule) {
        Schedule smallest =
                ScheduleShrinker.shrink(
                        schedule,
                        candidate ->
                                violations(candidate).stream()
                                        .anyMatch(each -> each.rule().equals(rule)));
        Journal.Violation shown =
                violations(smallest).stream()
                        .filter(each -> each.rule().equals(rule))
                        .findFirst()
                        .orElseThrow();
        fail("seed " + schedule.seed() + ": " + shown + '\n' + ScheduleText.print(smallest));
    }

    /** Guards against the faults that these schedules found, now or on earlier code. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "lost-answer-to-watch",
                "stored-target-believed",
                "late-heartbeat",
                "odd-status-line"
            })
    void scheduleThatFailedHolds(String name) throws Exception {
        try (InputStream in = getClass().getResourceAsStream("/simulation/" + name + ".txt")) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(List.of(), violations(ScheduleText.parse(text)));
        }
    }

    /** Guards against schedules whose failures cannot be played again. */
    @ParameterizedTest
    @ValueSource(longs = {3, 8, 21})
    void scheduleIsPlayedTheSameWayAgain(long seed) {
        Schedule schedule = Schedule.generate(seed);
        FleetSimulation first = new FleetSimulation(nodes, schedule);
        FleetSimulation second =
                new FleetSimulation(nodes, ScheduleText.parse(ScheduleText.print(schedule)));
        assertEquals(first.play().ended(), second.play().ended());
        assertEquals(first.log(""), second.log(""));
        assertNotEquals(List.of(), first.log(""));
    }

    @ParameterizedTest
    @ValueSource(strings = {"6000 Explode node=1", "6000 Freeze node=1", "6000 Freeze node=1 ms=5"})
    void textThatIsNoScheduleIsRejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> ScheduleText.parse(text));
    }
}
