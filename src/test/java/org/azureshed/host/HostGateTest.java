package org.azureshed.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.azureshed.directory.Condition;
import org.azureshed.directory.TargetEntry;
import org.azureshed.dispatch.OfferMode;
import org.azureshed.model.RefusalReason;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the slots and the queue of a target under more requests than it can run. */
class HostGateTest {
    private static final int SLOTS = 4;
    private static final long RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long LONG_LIMIT = TimeUnit.SECONDS.toNanos(5);

    private final HostGate gate = new HostGate(new RetryShare(0.2, 60, 10, 8, 0));
    private long nextId;

    private static TargetEntry target(Condition condition) {
        return new TargetEntry("i", 1, "shop", SLOTS, condition);
    }

    @BeforeEach
    void announce() {
        gate.apply(Optional.of(target(Condition.SERVING)), 0);
    }

    private Offered offered(OfferMode mode, int priority, boolean repeatable, long limitNanos) {
        return new Offered(
                nextId++, "i", mode, priority, repeatable, false, false, limitNanos, limitNanos);
    }

    private List<Offered> fillSlots() {
        List<Offered> running = new ArrayList<>();
        for (int i = 0; i < SLOTS; i++) {
            Offered one = offered(OfferMode.IMMEDIATE, 1, false, LONG_LIMIT);
            assertInstanceOf(Admittance.Admitted.class, gate.offer(one, 0));
            running.add(one);
        }
        return running;
    }

    private static RefusalReason reason(Admittance admittance) {
        return assertInstanceOf(Admittance.Refused.class, admittance).refusal().reason();
    }

    @Test
    void fullTargetRefusesAtOnceOrQueues() {
        fillSlots();
        Admittance immediate = gate.offer(offered(OfferMode.IMMEDIATE, 1, true, LONG_LIMIT), 0);
        assertEquals(RefusalReason.QUEUE_FULL, reason(immediate));
        Admittance queued = gate.offer(offered(OfferMode.QUEUE, 1, true, LONG_LIMIT), 0);
        assertInstanceOf(Admittance.Queued.class, queued);
    }

    /** A caller whose time would pass in the queue is told at once. */
    @Test
    void requestThatCannotFinishInTimeIsRefused() {
        fillSlots();
        Admittance short1 = gate.offer(offered(OfferMode.QUEUE, 1, true, RUN_NANOS), 0);
        assertEquals(RefusalReason.QUEUE_FULL, reason(short1));
    }

    /** Load pattern: lasting overload. A queue up to the limit would serve as many, all late. */
    @Test
    void overloadedTargetQueuesOnlyWhatItCanServeWithinTheTargetLatency() {
        fillSlots();
        long useful = RUN_NANOS * 3;
        int queued = 0;
        for (int i = 0; i < 40; i++) {
            Offered one =
                    new Offered(
                            nextId++,
                            "i",
                            OfferMode.QUEUE,
                            1,
                            false,
                            false,
                            false,
                            useful,
                            LONG_LIMIT);
            if (gate.offer(one, 0) instanceof Admittance.Queued) {
                queued++;
            }
        }
        assertEquals(2 * SLOTS, queued);
    }

    /** Load pattern: a waiter that became late while the target was slow. */
    @Test
    void lateWaiterComesAfterThoseInTime() {
        List<Offered> running = fillSlots();
        Offered late =
                new Offered(
                        nextId++,
                        "i",
                        OfferMode.QUEUE,
                        1,
                        false,
                        false,
                        false,
                        RUN_NANOS * 2,
                        LONG_LIMIT);
        gate.offer(late, 0);
        long now = RUN_NANOS * 3;
        Offered inTime =
                new Offered(
                        nextId++,
                        "i",
                        OfferMode.QUEUE,
                        2,
                        false,
                        false,
                        false,
                        now * 3,
                        LONG_LIMIT);
        gate.offer(inTime, now);
        List<HostGate.Settled> first =
                gate.release(running.getFirst(), RunResult.SUCCESS, RUN_NANOS, now);
        assertEquals(inTime, first.getFirst().offered());
    }

    /** Load pattern: a burst of more requests than slots, of two priorities. */
    @Test
    void freeSlotGoesToTheMostUrgentWaiter() {
        List<Offered> running = fillSlots();
        Offered low = offered(OfferMode.QUEUE, 2, false, LONG_LIMIT);
        Offered late = offered(OfferMode.QUEUE, 1, false, LONG_LIMIT);
        Offered soon = offered(OfferMode.QUEUE, 1, false, LONG_LIMIT / 2);
        for (Offered one : List.of(low, late, soon)) {
            assertInstanceOf(Admittance.Queued.class, gate.offer(one, 0));
        }
        List<Offered> order = new ArrayList<>();
        for (Offered one : running) {
            gate.release(one, RunResult.SUCCESS, RUN_NANOS, 1)
                    .forEach(settled -> order.add(settled.offered()));
        }
        assertEquals(List.of(soon, late, low), order);
    }

    /** Load pattern: requests whose callers leave while they run or wait. */
    @Test
    void departedCallersLeaveNoSlotTaken() {
        List<Offered> running = fillSlots();
        Offered waiting = offered(OfferMode.QUEUE, 1, false, LONG_LIMIT);
        gate.offer(waiting, 0);
        assertTrue(gate.withdraw(waiting));
        running.forEach(one -> gate.release(one, RunResult.NEUTRAL, 0, 1));
        assertEquals(0, gate.runningCount());
        fillSlots();
    }

    static Stream<Arguments> closed() {
        return Stream.of(
                Arguments.of(Condition.LEAVING, RefusalReason.TARGET_DRAINING),
                Arguments.of(Condition.GONE, RefusalReason.TARGET_DRAINING));
    }

    @ParameterizedTest
    @MethodSource("closed")
    void departureRefusesWaitersAndNewRequests(Condition condition, RefusalReason expected) {
        fillSlots();
        gate.offer(offered(OfferMode.QUEUE, 1, false, LONG_LIMIT), 0);
        List<HostGate.Settled> settled = gate.apply(Optional.of(target(condition)), 0);
        assertEquals(1, settled.size());
        assertEquals(expected, reason(settled.getFirst().admittance()));
        Admittance next = gate.offer(offered(OfferMode.FORCE, 1, true, LONG_LIMIT), 0);
        assertEquals(expected, reason(next));
    }

    @Test
    void offerForAnotherTargetIsRefused() {
        Offered foreign =
                new Offered(
                        99,
                        "other",
                        OfferMode.QUEUE,
                        1,
                        true,
                        false,
                        false,
                        LONG_LIMIT,
                        LONG_LIMIT);
        assertEquals(RefusalReason.TARGET_UNKNOWN, reason(gate.offer(foreign, 0)));
    }

    @Test
    void waiterWhoseTimeIsOverIsRefused() {
        fillSlots();
        Offered waiting = offered(OfferMode.QUEUE, 1, false, LONG_LIMIT);
        gate.offer(waiting, 0);
        List<HostGate.Settled> expired = gate.expire(LONG_LIMIT);
        assertEquals(RefusalReason.QUEUE_TIMEOUT, reason(expired.getFirst().admittance()));
        assertEquals(0, gate.waitingCount());
    }

    private void run(RunResult result, long nowNanos) {
        Offered one = offered(OfferMode.FORCE, 1, true, nowNanos + LONG_LIMIT);
        assertInstanceOf(Admittance.Admitted.class, gate.offer(one, nowNanos));
        gate.release(one, result, RUN_NANOS, nowNanos);
    }

    /** Load pattern: a target that fails most requests while its heartbeats are well. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void failingTargetTakesOnlyTrials(boolean recovers) {
        run(RunResult.FAILURE, 1);
        run(RunResult.FAILURE, 2);
        assertEquals(
                Condition.SUSPECT, gate.published(3).map(TargetEntry::condition).orElseThrow());
        Offered once = offered(OfferMode.IMMEDIATE, 1, false, LONG_LIMIT);
        assertEquals(RefusalReason.TARGET_SUSPECT, reason(gate.offer(once, 3)));
        long later = TimeUnit.MILLISECONDS.toNanos(500);
        Offered trial = offered(OfferMode.IMMEDIATE, 1, true, LONG_LIMIT);
        assertInstanceOf(Admittance.Admitted.class, gate.offer(trial, later));
        Offered second = offered(OfferMode.IMMEDIATE, 1, true, LONG_LIMIT);
        assertEquals(RefusalReason.TARGET_SUSPECT, reason(gate.offer(second, later)));
        RunResult result = recovers ? RunResult.SUCCESS : RunResult.FAILURE;
        gate.release(trial, result, RUN_NANOS, later);
        run(result, later + 1);
        assertEquals(
                recovers ? Condition.SERVING : Condition.SUSPECT,
                gate.published(later + 2).map(TargetEntry::condition).orElseThrow());
    }

    /** Load pattern: a target that resets connections; what must not repeat is lost at each. */
    @Test
    void firstBrokenConnectionMakesATargetSuspect() {
        run(RunResult.SUCCESS, 1);
        run(RunResult.BROKEN, 2);
        assertEquals(
                Condition.SUSPECT, gate.published(3).map(TargetEntry::condition).orElseThrow());
    }

    /** Load pattern: every request fails and is repeated until the budget is used up. */
    @Test
    void repeatsBeyondTheBudgetAreRefused() {
        int admitted = 0;
        Admittance last = null;
        for (int i = 0; i < 20; i++) {
            Offered repeat =
                    new Offered(
                            nextId++,
                            "i",
                            OfferMode.IMMEDIATE,
                            1,
                            true,
                            true,
                            false,
                            LONG_LIMIT,
                            LONG_LIMIT);
            last = gate.offer(repeat, 0);
            if (last instanceof Admittance.Admitted) {
                admitted++;
                gate.release(repeat, RunResult.SUCCESS, RUN_NANOS, 0);
            }
        }
        assertEquals(RefusalReason.RETRY_BUDGET, reason(last));
        assertTrue(admitted > 0 && admitted * 8 <= 60, admitted + " admitted");
    }

    /** Load pattern: repeated runs make calls, which count as repeats but are never refused. */
    @Test
    void callsOfRepeatedRunsUseUpTheBudget() {
        for (int i = 0; i < 10; i++) {
            Offered call =
                    new Offered(
                            nextId++,
                            "i",
                            OfferMode.IMMEDIATE,
                            1,
                            true,
                            false,
                            true,
                            LONG_LIMIT,
                            LONG_LIMIT);
            assertInstanceOf(Admittance.Admitted.class, gate.offer(call, 0));
            gate.release(call, RunResult.SUCCESS, RUN_NANOS, 0);
        }
        Offered repeat =
                new Offered(
                        nextId++,
                        "i",
                        OfferMode.IMMEDIATE,
                        1,
                        true,
                        true,
                        false,
                        LONG_LIMIT,
                        LONG_LIMIT);
        assertEquals(RefusalReason.RETRY_BUDGET, reason(gate.offer(repeat, 0)));
    }

    @ParameterizedTest
    @EnumSource(
            value = RunResult.class,
            names = {"SUCCESS", "NEUTRAL"})
    void singleFailureIsNoReasonToAvoidATarget(RunResult others) {
        run(RunResult.FAILURE, 1);
        for (int i = 0; i < 10; i++) {
            run(others, 2 + i);
        }
        assertEquals(
                Condition.SERVING, gate.published(20).map(TargetEntry::condition).orElseThrow());
    }

    /** Load pattern: a target that turns several times slower than it was. */
    @Test
    void slowedTargetIsPublishedAsSlow() {
        for (int i = 0; i < 20; i++) {
            Offered one = offered(OfferMode.IMMEDIATE, 1, true, LONG_LIMIT);
            gate.offer(one, i);
            gate.release(one, RunResult.SUCCESS, i < 14 ? RUN_NANOS : RUN_NANOS * 6, i);
        }
        assertEquals(Condition.SLOW, gate.published(20).map(TargetEntry::condition).orElseThrow());
    }
}
