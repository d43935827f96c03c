package org.azureshed.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.azureshed.model.Endpoint;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.RequestClass;
import org.azureshed.model.ServicePolicy;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against leaked slots, short requests blocked by long ones, unfair queues and requests
 * admitted while draining.
 */
class AdmissionTest {
    private static final TargetId TARGET = new TargetId("t1");
    private static final RequestClass PAGE = new RequestClass("page", false, true, 2000, 200, 0);
    private static final RequestClass FILING =
            new RequestClass("filing", false, false, 2000, 200, 5);
    private static final RequestClass EXPORT =
            new RequestClass("export", true, true, 30_000, 2000, 0);

    private final Admission admission = new Admission();
    private long now = millis(1_000_000);

    @ParameterizedTest
    @CsvSource({"4,50,2", "4,25,1", "4,100,3", "4,10,1", "5,50,2", "5,100,4", "1,50,1", "2,100,1"})
    void longWorkKeepsToItsLaneAndShortWorkGetsTheRest(int slots, int percent, int longSlots) {
        apply(slots, percent, TargetState.READY);

        int longGranted = 0;
        for (int i = 0; i < slots; i++) {
            longGranted += admit(EXPORT, "o") instanceof Ticket ? 1 : 0;
        }
        int shortGranted = 0;
        for (int i = 0; i < 2 * slots; i++) {
            shortGranted += granted(pending(PAGE, "o")) ? 1 : 0;
        }

        assertEquals(longSlots, longGranted);
        assertEquals(slots - longSlots, shortGranted);
    }

    @Test
    void aTicketFreesItsSlotOnce() {
        apply(2, 50, TargetState.READY);
        Ticket ticket = ticket(PAGE);
        ticket(PAGE);

        assertTrue(ticket.close(TicketResult.SUCCEEDED, now));
        assertFalse(ticket.close(TicketResult.SUCCEEDED, now));
        assertEquals(1, admission.report(TARGET, now).orElseThrow().inFlight());
    }

    @Test
    void waitersAreServedByDeadlineThenPriorityThenOrganisation() {
        apply(2, 50, TargetState.READY);
        ticket(PAGE, "busy");
        Ticket holder = ticket(PAGE, "busy");
        Pending late = pending(PAGE, "idle", 1900);
        Pending busy = pending(PAGE, "busy", 1500);
        Pending idle = pending(PAGE, "idle", 1500);
        Pending filing = pending(FILING, "busy", 1500);
        Pending urgent = pending(PAGE, "busy", 800);

        for (Pending expected : List.of(urgent, filing, idle, busy, late)) {
            assertFalse(expected.decision().isDone());
            holder.close(TicketResult.NOT_RUN, now);
            assertTrue(granted(expected));
            holder = (Ticket) expected.decision().join();
        }
    }

    @Test
    void anOrganisationThatFilledTheQueueMakesRoomForOthers() {
        apply(1, 50, TargetState.READY);
        ticket(PAGE, "greedy");
        List<Pending> greedy = new ArrayList<>();
        while (greedy.isEmpty() || !greedy.getLast().decision().isDone()) {
            greedy.add(pending(PAGE, "greedy"));
        }
        int waiting = greedy.size() - 1;

        List<Pending> others = new ArrayList<>();
        for (int i = 0; i < waiting; i++) {
            others.add(pending(PAGE, "other"));
        }

        long greedyLeft = greedy.stream().filter(p -> !p.decision().isDone()).count();
        long othersLeft = others.stream().filter(p -> !p.decision().isDone()).count();
        assertEquals(waiting, greedyLeft + othersLeft);
        assertTrue(Math.abs(greedyLeft - othersLeft) <= 1, greedyLeft + " and " + othersLeft);
    }

    @ParameterizedTest
    @CsvSource({"200,2000,QUEUE_TIMEOUT,200", "2000,300,DEADLINE_EXCEEDED,300"})
    void aWaiterIsRemovedWhenItsWaitEnds(
            long queueMillis, long deadlineMillis, RefusalReason reason, long endsAfter) {
        apply(1, 50, TargetState.READY);
        ticket(PAGE);
        RequestClass waiting =
                new RequestClass("waiting", false, true, deadlineMillis, queueMillis, 0);
        Pending pending = pending(waiting, "o", deadlineMillis);
        assertEquals(now + millis(endsAfter), pending.expiresAtNanos());

        now += millis(endsAfter) - 1;
        pending.expire(now);
        assertFalse(pending.decision().isDone());
        now++;
        pending.expire(now);

        assertEquals(reason, refusal(pending).reason());
        assertEquals(0, admission.report(TARGET, now).orElseThrow().queued());
    }

    @ParameterizedTest
    @CsvSource({"100,2000,2000,QUEUE_FULL", "2000,2000,150,DEADLINE_EXCEEDED"})
    void aRequestThatCannotBeServedInTimeIsRefusedAtOnce(
            long queueMillis, long deadlineMillis, long left, RefusalReason reason) {
        apply(1, 50, TargetState.READY);
        RequestClass slow = new RequestClass("slow", false, true, deadlineMillis, queueMillis, 0);
        for (int i = 0; i < 100; i++) {
            Ticket ticket = ticket(slow);
            now += millis(200);
            ticket.close(TicketResult.SUCCEEDED, now);
        }
        ticket(slow);

        Refusal refusal = refusal(pending(slow, "o", left));

        assertEquals(reason, refusal.reason());
        assertTrue(refusal.retryAfterMillis() >= 100, "retry after " + refusal.retryAfterMillis());
    }

    @ParameterizedTest
    @EnumSource(names = {"TARGET_DRAINING", "TARGET_UNKNOWN", "NODE_DRAINING"})
    void drainingRefusesWaitersAndLetsRequestsFinish(RefusalReason reason) {
        apply(1, 50, TargetState.READY);
        Ticket ticket = ticket(PAGE);
        Pending waiter = pending(PAGE, "o");

        switch (reason) {
            case NODE_DRAINING -> admission.drain(now);
            case TARGET_UNKNOWN -> admission.apply(List.of(), Map.of(), now);
            default -> apply(1, 50, TargetState.DRAINING);
        }

        assertEquals(reason, refusal(waiter).reason());
        assertEquals(reason, refusal(pending(PAGE, "o")).reason());
        assertFalse(admission.drained(TARGET).isDone());
        ticket.close(TicketResult.SUCCEEDED, now);
        assertTrue(admission.drained(TARGET).isDone());
    }

    @Test
    void aTargetAnnouncedAgainKeepsCountingItsOldRequests() {
        apply(1, 50, TargetState.READY);
        Ticket old = ticket(PAGE);
        admission.apply(List.of(), Map.of(), now);
        apply(1, 50, TargetState.READY);

        Pending waiter = pending(PAGE, "o");
        assertFalse(waiter.decision().isDone());
        old.close(TicketResult.SUCCEEDED, now);
        assertTrue(waiter.decision().isDone());
    }

    @Test
    void fewerSlotsDropNoTicketAndMoreSlotsAdmitWaiters() {
        apply(2, 50, TargetState.READY);
        Ticket first = ticket(PAGE);
        ticket(PAGE);
        apply(1, 50, TargetState.READY);
        Pending waiter = pending(PAGE, "o");

        first.close(TicketResult.SUCCEEDED, now);
        assertFalse(waiter.decision().isDone());
        apply(2, 50, TargetState.READY);
        assertTrue(waiter.decision().isDone());
    }

    @Test
    void cancellationWithdrawsAWaiterAndReturnsAnUnusedTicket() {
        apply(1, 50, TargetState.READY);
        Ticket running = ticket(PAGE);
        Pending cancelled = pending(PAGE, "o");
        Pending granted = pending(PAGE, "o");

        cancelled.cancel(now);
        running.close(TicketResult.SUCCEEDED, now);
        assertTrue(granted.decision().isDone());
        granted.cancel(now);

        assertFalse(cancelled.decision().isDone());
        assertEquals(0, admission.report(TARGET, now).orElseThrow().inFlight());
    }

    @Test
    void aRouteThatRunsLongIsTreatedAsLongUntilItIsShortAgain() {
        apply(4, 25, TargetState.READY);
        for (int i = 0; i < 20; i++) {
            run("pages", 10);
        }
        for (int i = 0; i < 3; i++) {
            run("hidden-export", 3000);
        }

        Ticket export = (Ticket) route("hidden-export").decision().join();
        assertFalse(granted(route("hidden-export")), "the long lane has one slot");
        assertTrue(granted(route("pages")));
        export.close(TicketResult.NOT_RUN, now);
        apply(4, 25, TargetState.DRAINING);
        apply(4, 25, TargetState.READY);

        for (int i = 0; i < 7; i++) {
            run("hidden-export", 10);
        }
        route("hidden-export");
        assertTrue(granted(route("hidden-export")));
    }

    @Test
    void aShortRequestThatHoldsItsSlotTooLongIsChargedToTheLongLane() {
        apply(4, 25, TargetState.READY);
        for (int i = 0; i < 20; i++) {
            run("pages", 10);
        }
        route("surprise");
        now += millis(1000);

        assertFalse(granted(pending(EXPORT, "o")), "the long lane is occupied");
        assertTrue(granted(route("pages")));
    }

    @Test
    void pagesThatTakeMuchLongerThanClicksAreNotLong() {
        apply(4, 25, TargetState.READY);
        for (int i = 0; i < 20; i++) {
            Ticket click = ticket(FILING);
            now += millis(1);
            click.close(TicketResult.SUCCEEDED, now);
            run("pages", 100);
        }

        for (int i = 0; i < 4; i++) {
            assertTrue(granted(route("pages")), "page " + i);
        }
    }

    @Test
    void aTargetThatIsSlowAsAWholeHasNoLongRoutes() {
        apply(4, 25, TargetState.READY);
        for (int i = 0; i < 20; i++) {
            run("pages", 10);
            run("kudos", 10);
        }
        for (int i = 0; i < 40; i++) {
            run("pages", 1000);
            run("kudos", 1000);
        }

        for (int i = 0; i < 4; i++) {
            assertTrue(granted(route(i % 2 == 0 ? "pages" : "kudos")));
        }
    }

    @Test
    void theReportIgnoresOldSamples() {
        apply(1, 50, TargetState.READY);
        for (int i = 0; i < 4; i++) {
            Ticket ticket = ticket(PAGE);
            now += millis(10);
            ticket.close(i == 0 ? TicketResult.FAILED : TicketResult.SUCCEEDED, now);
        }
        assertEquals(
                new LoadReport(0, 0, 1, 0, TargetState.READY, 10_000, 0.25, 4),
                admission.report(TARGET, now).orElseThrow());
        now += millis(31_000);
        assertEquals(
                new LoadReport(0, 0, 1, 0, TargetState.READY, 0, 0, 0),
                admission.report(TARGET, now).orElseThrow());
    }

    @Test
    void threadsNeverHoldMoreTicketsThanSlots() throws InterruptedException {
        admission.apply(List.of(info(4, TargetState.READY)), Map.of(), System.nanoTime());
        AtomicInteger holding = new AtomicInteger();
        AtomicInteger most = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            RequestClass requestClass = i % 4 == 0 ? EXPORT : FILING;
            threads.add(
                    Thread.startVirtualThread(
                            () -> {
                                for (int j = 0; j < 20; j++) {
                                    Ticket ticket = await(requestClass);
                                    if (ticket != null) {
                                        most.accumulateAndGet(holding.incrementAndGet(), Math::max);
                                        served.incrementAndGet();
                                        Thread.yield();
                                        holding.decrementAndGet();
                                        ticket.close(TicketResult.SUCCEEDED, System.nanoTime());
                                    }
                                }
                            }));
        }
        for (Thread thread : threads) {
            assertTrue(thread.join(Duration.ofSeconds(20)), "a thread waits for ever");
        }
        assertTrue(most.get() <= 4, "tickets held at once: " + most);
        assertTrue(served.get() > 0);
        assertEquals(0, admission.report(TARGET, System.nanoTime()).orElseThrow().inFlight());
    }

    private Ticket await(RequestClass requestClass) {
        long start = System.nanoTime();
        Request request = new Request(TARGET, requestClass, "", "o", start + millis(2000));
        try {
            Decision decision = admission.admit(request, start).await(System::nanoTime);
            return decision instanceof Ticket ticket ? ticket : null;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void awaitBlocksAVirtualThreadUntilItsWaitEnds() throws InterruptedException {
        admission.apply(List.of(info(1, TargetState.READY)), Map.of(), System.nanoTime());
        now = System.nanoTime();
        ticket(PAGE);
        RequestClass brief = new RequestClass("brief", false, true, 2000, 30, 0);
        Request request = new Request(TARGET, brief, "", "o", System.nanoTime() + millis(2000));
        List<Decision> decisions = new ArrayList<>();

        Thread thread =
                Thread.startVirtualThread(
                        () -> {
                            try {
                                decisions.add(
                                        admission
                                                .admit(request, System.nanoTime())
                                                .await(System::nanoTime));
                            } catch (InterruptedException expected) {
                                Thread.currentThread().interrupt();
                            }
                        });
        thread.join(5000);

        assertEquals(RefusalReason.QUEUE_TIMEOUT, ((Refusal) decisions.getFirst()).reason());
    }

    private void run(String route, long serviceMillis) {
        Ticket ticket = (Ticket) route(route).decision().join();
        now += millis(serviceMillis);
        ticket.close(TicketResult.SUCCEEDED, now);
    }

    private Pending route(String route) {
        return admission.admit(new Request(TARGET, PAGE, route, "o", now + millis(2000)), now);
    }

    private Pending pending(RequestClass requestClass, String organisation) {
        return pending(requestClass, organisation, requestClass.deadlineMillis());
    }

    private Pending pending(RequestClass requestClass, String organisation, long deadlineMillis) {
        return admission.admit(
                new Request(TARGET, requestClass, "", organisation, now + millis(deadlineMillis)),
                now);
    }

    private Decision admit(RequestClass requestClass, String organisation) {
        return pending(requestClass, organisation).decision().getNow(null);
    }

    private Ticket ticket(RequestClass requestClass) {
        return ticket(requestClass, "o");
    }

    private Ticket ticket(RequestClass requestClass, String organisation) {
        return (Ticket) admit(requestClass, organisation);
    }

    private static boolean granted(Pending pending) {
        return pending.decision().getNow(null) instanceof Ticket;
    }

    private static Refusal refusal(Pending pending) {
        return (Refusal) pending.decision().getNow(null);
    }

    private void apply(int slots, int lanePercent, TargetState state) {
        admission.apply(
                List.of(info(slots, state)),
                Map.of("reading", new ServicePolicy("reading", 60, lanePercent, 10)),
                now);
    }

    private static TargetInfo info(int slots, TargetState state) {
        return new TargetInfo(TARGET, "reading", new Endpoint("127.0.0.1", 1), slots, state);
    }

    private static long millis(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }
}
