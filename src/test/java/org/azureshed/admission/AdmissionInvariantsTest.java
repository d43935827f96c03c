package org.azureshed.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.Endpoint;
import org.azureshed.model.RequestClass;
import org.azureshed.model.ServicePolicy;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares slots and queue after random operations with counts that the test keeps itself. */
class AdmissionInvariantsTest {
    private static final TargetId TARGET = new TargetId("t1");
    private static final int STEPS = 5_000;
    private static final List<RequestClass> CLASSES =
            List.of(
                    new RequestClass("page", false, true, 500, 100, 0),
                    new RequestClass("filing", false, false, 500, 200, 3),
                    new RequestClass("export", true, true, 5_000, 1_000, 0));

    private final Admission admission = new Admission();
    private final List<Pending> pending = new ArrayList<>();
    private final List<Ticket> open = new ArrayList<>();
    private long now = TimeUnit.HOURS.toNanos(1);
    private int slots = 4;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void slotsAreExactAndEveryRequestIsDecidedOnce(long seed) {
        Random random = new Random(seed);
        apply(TargetState.READY);
        for (int i = 0; i < STEPS; i++) {
            now += random.nextLong(TimeUnit.MILLISECONDS.toNanos(10));
            int before = open.size();
            step(random);
            collect();
            LoadReport report = admission.report(TARGET, now).orElseThrow();
            collect();
            assertEquals(open.size(), report.inFlight(), "in flight after step " + i);
            assertEquals(pending.size(), report.queued(), "queued after step " + i);
            assertTrue(
                    open.size() <= Math.max(slots, before),
                    "step " + i + " took a slot beyond " + slots);
        }
        admission.drain(now);
        collect();
        assertTrue(pending.isEmpty(), "a drained node keeps no waiter");
        open.forEach(ticket -> assertTrue(ticket.close(TicketResult.SUCCEEDED, now)));
        assertTrue(admission.drained(TARGET).isDone());
    }

    private void step(Random random) {
        int choice = random.nextInt(100);
        if (choice < 45) {
            RequestClass requestClass = CLASSES.get(random.nextInt(CLASSES.size()));
            long deadline = now + TimeUnit.MILLISECONDS.toNanos(random.nextInt(1, 500));
            pending.add(
                    admission.admit(
                            new Request(
                                    TARGET,
                                    requestClass,
                                    "r" + random.nextInt(5),
                                    "o" + random.nextInt(3),
                                    deadline),
                            now));
        } else if (choice < 90 && !open.isEmpty()) {
            Ticket ticket = open.remove(random.nextInt(open.size()));
            assertTrue(ticket.close(TicketResult.values()[random.nextInt(3)], now));
            assertTrue(!ticket.close(TicketResult.SUCCEEDED, now), "closed twice");
        } else if (choice < 95 && !pending.isEmpty()) {
            pending.remove(random.nextInt(pending.size())).cancel(now);
        } else if (choice < 98) {
            slots = random.nextInt(1, 7);
            apply(TargetState.READY);
        } else {
            apply(random.nextBoolean() ? TargetState.DRAINING : TargetState.READY);
        }
    }

    private void collect() {
        pending.removeIf(
                waiting -> {
                    if (waiting.decision().getNow(null) instanceof Ticket ticket) {
                        open.add(ticket);
                    }
                    return waiting.decision().isDone();
                });
    }

    private void apply(TargetState state) {
        TargetInfo info =
                new TargetInfo(TARGET, "reading", new Endpoint("127.0.0.1", 1), slots, state);
        admission.apply(
                List.of(info), Map.of("reading", new ServicePolicy("reading", 60, 50, 10)), now);
    }
}
