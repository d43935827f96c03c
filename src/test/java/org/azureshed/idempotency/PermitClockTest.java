package org.azureshed.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.Random;
import org.azureshed.model.NodeId;
import org.azureshed.model.RefusalReason;
import org.junit.jupiter.api.Test;

/**
 * Guards against work that starts after the end of the owner's lease because clocks differ in rate.
 */
class PermitClockTest {
    private static final KeyTiming TIMING = KeyTiming.STANDARD;
    private static final IdempotencyKey KEY =
            IdempotencyKey.parse("o", "r", "017F22E2-79B0-7CC3-98C4-DC0C0C07398F").get();
    private static final ClaimId CLAIM = new ClaimId(new NodeInstance(new NodeId("e"), 1), 1);

    private final PermitClock clock = new PermitClock(TIMING);

    @Test
    void deadlineLiesBeforeTheEndOfTheLease() {
        Random random = new Random(7);
        int admitted = 0;
        for (int run = 0; run < 200_000; run++) {
            // Rates are relative to real time; any two differ by at most 10%.
            double owner = 1 + random.nextDouble() * 0.1;
            double entry = 1 + random.nextDouble() * 0.1;
            double host = 1 + random.nextDouble() * 0.1;
            double leaseEnd = random.nextInt(15_000);
            double claimSent = -random.nextInt(3_000);
            double granted = claimSent + random.nextInt(3_000);
            double sampled = claimSent - random.nextInt(20_000) + random.nextInt(20_000);
            double arrived = sampled + random.nextInt(500);
            double converted = Math.max(granted, arrived) + random.nextInt(1_000);
            double epochRead = converted + random.nextInt(2_000);
            double hostRead = epochRead + random.nextInt(500);
            long remainingMillis = (long) Math.floor((leaseEnd - granted) * owner);
            if (remainingMillis <= 0) {
                continue;
            }
            long end =
                    clock.permitEnd(
                            (long) Math.floor(claimSent * entry), TIMING.shrink(remainingMillis));
            PermitClock.HostSample sample =
                    new PermitClock.HostSample(
                            "b",
                            (long) Math.floor(sampled * host),
                            (long) Math.ceil(arrived * entry));
            Either<RefusalReason, Long> deadline =
                    clock.startBy(
                                    new Permit(CLAIM, KEY, 1, end),
                                    sample,
                                    (long) Math.floor(converted * entry))
                            .flatMap(
                                    startBy ->
                                            clock.targetDeadline(
                                                    startBy,
                                                    "b",
                                                    (long) Math.floor(epochRead * host),
                                                    (long) Math.ceil(hostRead * host)));
            if (deadline.isRight()) {
                admitted++;
                // The VM's clock runs at the host side's rate in this test.
                assertTrue(deadline.get() / host <= leaseEnd, "run " + run);
            }
        }
        assertTrue(admitted > 10_000, "admitted only " + admitted);
    }

    @Test
    void refusesAnotherBootOfTheHost() {
        assertEquals(
                Either.left(RefusalReason.PERMIT_EXPIRED),
                clock.targetDeadline(new PermitClock.StartBy("a", 1_000), "b", 0, 0));
    }

    @Test
    void refusesAtStartBy() {
        assertEquals(
                Either.left(RefusalReason.PERMIT_EXPIRED),
                clock.targetDeadline(new PermitClock.StartBy("a", 1_000), "a", 0, 1_000));
    }
}
