package org.azureshed.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.NodeId;
import org.azureshed.model.OrganisationLimit;
import org.azureshed.model.RefusalReason;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against retry storms, bad paths that reduce capacity below the floor, and unbounded state
 * of organisations.
 */
class LimitsTest {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final PathHealth health = new PathHealth();
    private final List<Candidate> fleet = Fleet.of(10);
    private long now = TimeUnit.HOURS.toNanos(1);

    @ParameterizedTest
    @CsvSource({"10,10000", "0,1000", "50,5000", "10,5"})
    void retriesStayWithinTheirShareWhenEverythingFails(int percent, int requestsPerSecond) {
        RetryBudget budget = new RetryBudget(now);
        int seconds = 10;
        int requests = requestsPerSecond * seconds;
        int retries = 0;
        for (int i = 0; i < requests; i++) {
            now += SECOND_NANOS / requestsPerSecond;
            budget.requestStarted(percent);
            while (budget.tryRetry(now)) {
                retries++;
            }
        }
        double bound = requests * percent / 100.0 + RetryBudget.MINIMUM_PER_SECOND * seconds + 20;
        assertTrue(retries <= bound, retries + " above " + bound);
        assertTrue(retries >= seconds - 1, "the minimum is available: " + retries);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 30, 50, 60, 100})
    void badPathsNeverTakeTheServiceBelowItsFloor(int floorPercent) {
        fleet.forEach(candidate -> markBad(candidate.node().id()));

        Set<NodeId> avoided = avoided(floorPercent);

        int left = fleet.size() - avoided.size();
        assertTrue(left * 10 >= floorPercent, left + " left");
        assertTrue(left >= 1);
        assertEquals(Math.max(1, (floorPercent + 9) / 10), left);
    }

    @Test
    void ejectedTargetsDoNotCountAsServing() {
        for (int i = 0; i < 4; i++) {
            markBad(new NodeId("n" + i));
        }
        // t4 to t9 are ejected, so only the targets behind bad paths can serve.
        Set<NodeId> avoided =
                health.avoided(fleet, id -> id.value().compareTo("t4") >= 0 ? 0 : 100, 40, now);
        assertEquals(Set.of(), avoided);
    }

    /** Guards against requests that time out on a dead path because they are used to probe it. */
    @Test
    void aBadPathIsAvoidedUntilItsProbesSucceed() {
        NodeId node = new NodeId("n0");
        health.failed(node, 0, now);
        health.failed(node, 0, now);
        assertEquals(Set.of(), avoided(50));
        health.failed(node, 0, now);
        assertEquals(Set.of(node), avoided(50));
        assertEquals(Set.of(), health.startProbes(now));

        now += SECOND_NANOS;
        assertEquals(Set.of(node), avoided(50));
        assertEquals(Set.of(node), health.startProbes(now));
        assertEquals(Set.of(), health.startProbes(now));
        probe(node, true);
        assertEquals(Set.of(node), avoided(50));
        assertEquals(Set.of(node), health.startProbes(now));
        probe(node, true);
        assertEquals(Set.of(), avoided(50));
        assertEquals(Set.of(), health.startProbes(now));
    }

    /** Guards against a frozen host on which several requests use up their whole deadline. */
    @Test
    void aProbeWithoutAnswerTurnsThePathBadAtOnce() {
        NodeId node = new NodeId("n0");
        probe(node, true);
        assertEquals(Set.of(), avoided(50));
        probe(node, false);
        assertEquals(Set.of(node), avoided(50));
    }

    /** Guards against a node that is avoided after a single short pause. */
    @Test
    void severalSlowProbesTurnThePathBad() {
        NodeId node = new NodeId("n0");
        for (int i = 1; i <= PathHealth.BAD_AFTER; i++) {
            assertEquals(Set.of(), avoided(50));
            assertEquals(
                    i == PathHealth.BAD_AFTER, health.probed(node, true, SECOND_NANOS / 2, 0, now));
        }
        assertEquals(Set.of(node), avoided(50));
    }

    /** Guards against late answers to old requests, which do not show that the path works now. */
    @Test
    void onlyProbesEndABackoff() {
        NodeId node = new NodeId("n0");
        markBad(node);
        probe(node, true);
        health.answered(node, 10, 5, 0, now);
        now += SECOND_NANOS;
        health.answered(node, 10, 5, 0, now);
        health.answered(node, 10, 5, 0, now);
        assertEquals(Set.of(node), avoided(50));
    }

    /** Guards against probing nodes that were replaced, and against keeping their state. */
    @Test
    void theStateOfANodeThatLeftIsRemoved() {
        NodeId node = new NodeId("n0");
        markBad(node);
        now += SECOND_NANOS;
        health.retain(id -> !id.equals(node));
        assertEquals(Set.of(), health.badPaths());
        assertEquals(Set.of(), health.startProbes(now));
    }

    @Test
    void theBackoffDoublesWithEachFailedProbe() {
        NodeId node = new NodeId("n0");
        markBad(node);
        long last = 0;
        for (int i = 0; i < 4; i++) {
            long waited = 0;
            while (health.startProbes(now).isEmpty()) {
                now += SECOND_NANOS / 100;
                waited += SECOND_NANOS / 100;
            }
            assertTrue(waited > 1.5 * last, waited + " after " + last);
            last = waited;
            probe(node, false);
        }
    }

    @ParameterizedTest
    @CsvSource({"500,400,false", "1500,100,true", "150,100,false", "200,10,true"})
    void aPathIsBadWhenItsTimeIsFarAboveTheHostsOwn(long path, long host, boolean bad) {
        for (int i = 0; i < PathHealth.BAD_AFTER; i++) {
            health.answered(
                    new NodeId("n0"),
                    TimeUnit.MILLISECONDS.toNanos(path),
                    TimeUnit.MILLISECONDS.toNanos(host),
                    0,
                    now);
        }
        assertEquals(bad, !health.badPaths().isEmpty());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void randomEventsKeepTheFloor(long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < 5_000; i++) {
            now += random.nextLong(SECOND_NANOS / 2);
            NodeId node = new NodeId("n" + random.nextInt(10));
            health.startProbes(now);
            switch (random.nextInt(4)) {
                case 0 -> health.answered(node, 10, 5, random.nextLong(), now);
                case 1 -> probe(node, random.nextBoolean());
                default -> health.failed(node, random.nextLong(), now);
            }
            assertTrue(avoided(60).size() <= 4);
        }
    }

    @Test
    void rateAndConcurrencyAreLimited() {
        OrganisationLimiter limiter = new OrganisationLimiter();
        OrganisationLimit limit = new OrganisationLimit(10, 4);
        for (int i = 0; i < 4; i++) {
            assertEquals(Optional.empty(), limiter.tryAcquire("o", limit, now));
        }
        assertEquals(
                Optional.of(RefusalReason.ORGANISATION_CONCURRENCY),
                limiter.tryAcquire("o", limit, now));
        for (int i = 0; i < 6; i++) {
            limiter.release("o");
            assertEquals(Optional.empty(), limiter.tryAcquire("o", limit, now));
        }
        limiter.release("o");
        assertEquals(
                Optional.of(RefusalReason.ORGANISATION_RATE), limiter.tryAcquire("o", limit, now));
        assertEquals(Optional.empty(), limiter.tryAcquire("o", limit, now + SECOND_NANOS / 10));
    }

    @Test
    void entriesOfIdleOrganisationsAreDroppedAndThoseOfBusyOnesAreNot() {
        OrganisationLimiter limiter = new OrganisationLimiter(1_600);
        OrganisationLimit limit = new OrganisationLimit(1, 1);
        limiter.tryAcquire("busy", limit, now);
        for (int i = 0; i < 71_000; i++) {
            String name = "o" + i;
            limiter.tryAcquire(name, limit, now);
            limiter.release(name);
        }
        assertTrue(limiter.size() <= 1_616, "entries " + limiter.size());
        assertFalse(limiter.tryAcquire("busy", limit, now + 10 * SECOND_NANOS).isEmpty());
    }

    private void markBad(NodeId node) {
        for (int i = 0; i < PathHealth.BAD_AFTER; i++) {
            health.failed(node, i * 7919L << 40, now);
        }
    }

    private void probe(NodeId node, boolean answered) {
        health.probed(node, answered, SECOND_NANOS / 1_000, 0, now);
    }

    private Set<NodeId> avoided(int floorPercent) {
        return new HashSet<>(health.avoided(fleet, id -> 100, floorPercent, now));
    }
}
