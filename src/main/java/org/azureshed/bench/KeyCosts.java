package org.azureshed.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.UUID;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlReducer;
import org.azureshed.control.ControlState;
import org.azureshed.idempotency.Claim;
import org.azureshed.idempotency.ClaimId;
import org.azureshed.idempotency.ClaimReply;
import org.azureshed.idempotency.ContentFingerprint;
import org.azureshed.idempotency.IdempotencyKey;
import org.azureshed.idempotency.KeyRange;
import org.azureshed.idempotency.KeyTiming;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.idempotency.OutcomeReport;
import org.azureshed.idempotency.OwnerCandidate;
import org.azureshed.idempotency.OwnerEffect;
import org.azureshed.idempotency.OwnerEvent;
import org.azureshed.idempotency.OwnerReducer;
import org.azureshed.idempotency.OwnerState;
import org.azureshed.idempotency.RangePlacement;
import org.azureshed.idempotency.StoredAnswer;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.Outcome;

/**
 * Measures the processor time and the heap that the owner of one key range needs, and the processor
 * time that every node needs for the placement of the ranges.
 *
 * <p>1% of the requests have an idempotency key. Before the measurement the owner runs for more
 * than the retention period of keys in virtual time, so that it drops records as fast as it creates
 * new ones.
 */
final class KeyCosts {
    /** 1% of one node's share of 280,000 requests/s at 2,400 nodes. */
    private static final double KEYED_REQUESTS_PER_NODE_AND_SECOND = 280_000 * 0.01 / 2_400;

    private static final KeyRange MEASURED_RANGE = new KeyRange(0);
    private static final long START_EPOCH_MILLIS = 1_796_000_000_000L;
    private static final long TICK_INTERVAL_MILLIS = 200;
    private static final long SECOND_MILLIS = 1_000;

    /** More than the 605 s for which a record is kept. */
    private static final int FILL_SECONDS = 620;

    private static final int MEASURED_SECONDS = 60;
    private static final int PLACEMENT_ITERATIONS = 20;
    private static final long PLACEMENT_INTERVAL_MILLIS = 5_000;
    private static final long MAX_WORK_MILLIS = 2_000;
    private static final int RESPONSE_BODY_BYTES = 64;

    private final SyntheticFleet fleet;
    private final ScaleMetrics metrics;
    private final SplittableRandom random = new SplittableRandom(42);
    private final OwnerReducer reducer = new OwnerReducer(KeyTiming.STANDARD);
    private final Queue<OwnerEvent> platformResponses = new ArrayDeque<>();
    private final ContentFingerprint fingerprint =
            ContentFingerprint.of("POST", "/submissions", new byte[0]);
    private OwnerState state;
    private long nowMillis = 1;
    private long version;
    private long claimCount;
    private long grantedCount;
    private long leaseWrites;
    private double dueClaims;

    KeyCosts(SyntheticFleet fleet, ScaleMetrics metrics) {
        this.fleet = fleet;
        this.metrics = metrics;
    }

    void measure() {
        measurePlacement();
        measureOwner();
    }

    /** Measures what each node does every 5 s, whether it owns ranges or not. */
    private void measurePlacement() {
        ControlReducer controlReducer = new ControlReducer();
        ControlState[] controlState = {ControlState.initial(fleet.node(0))};
        controlState[0] =
                controlReducer
                        .reduce(controlState[0], new ControlEvent.NodesListed(fleet.otherNodes()))
                        .state();
        metrics.add(
                fleet,
                "key_placement_us",
                CostMeter.measureMicros(
                        PLACEMENT_ITERATIONS,
                        PLACEMENT_ITERATIONS,
                        i ->
                                controlState[0] =
                                        controlReducer
                                                .reduce(
                                                        controlState[0],
                                                        tick(i * PLACEMENT_INTERVAL_MILLIS))
                                                .state()));
    }

    private static ControlEvent tick(long millis) {
        return new ControlEvent.Keys(new OwnerEvent.Tick(millis));
    }

    private void measureOwner() {
        List<OwnerCandidate> candidates = new ArrayList<>();
        candidates.add(candidate(fleet.node(0)));
        fleet.otherNodes().forEach(node -> candidates.add(candidate(node)));
        RangePlacement placement = new RangePlacement(candidates);
        state = OwnerState.initial(placement.best(MEASURED_RANGE).orElseThrow());
        reduce(new OwnerEvent.ViewChanged(placement, nowMillis));
        // Lets time pass without claims, because keys from before the lease would be refused.
        runSeconds(10, 0);
        long heapBytesBefore = CostMeter.usedHeapBytes();
        runSeconds(FILL_SECONDS, claimsPerSecond());
        long grantedBefore = grantedCount;
        metrics.add(fleet, "key_heap_bytes", CostMeter.usedHeapBytes() - heapBytesBefore);
        leaseWrites = 0;
        double[] nanos = runSeconds(MEASURED_SECONDS, claimsPerSecond());
        if (grantedCount != claimCount) {
            throw new IllegalStateException(claimCount - grantedCount + " claims were refused");
        }
        long measuredClaims = grantedCount - grantedBefore;
        metrics.add(fleet, "key_claims_per_s", (double) measuredClaims / MEASURED_SECONDS);
        metrics.add(fleet, "key_claim_us", nanos[0] / 1e3 / measuredClaims);
        metrics.add(fleet, "key_outcome_us", nanos[1] / 1e3 / measuredClaims);
        metrics.add(fleet, "key_ticks_us_per_s", nanos[2] / 1e3 / MEASURED_SECONDS);
        metrics.add(
                fleet,
                "key_owner_us_per_s",
                (nanos[0] + nanos[1] + nanos[2]) / 1e3 / MEASURED_SECONDS);
        metrics.add(fleet, "key_writes_per_s", (double) leaseWrites / MEASURED_SECONDS);
    }

    private double claimsPerSecond() {
        return KEYED_REQUESTS_PER_NODE_AND_SECOND * fleet.nodes() / KeyRange.COUNT;
    }

    private static OwnerCandidate candidate(NodeInfo node) {
        return new OwnerCandidate(
                new NodeInstance(node.id(), node.incarnation()), node.availabilityZone());
    }

    /**
     * Runs the owner for some seconds of virtual time.
     *
     * @return processor time in nanoseconds: of the claims, of the outcome reports, and of the
     *     ticks with the responses of the platform
     */
    private double[] runSeconds(int seconds, double claimsPerSecond) {
        double[] nanos = new double[3];
        long endMillis = nowMillis + seconds * SECOND_MILLIS;
        while (nowMillis < endMillis) {
            nowMillis += TICK_INTERVAL_MILLIS;
            List<Claim> newClaims = new ArrayList<>();
            for (dueClaims += claimsPerSecond * TICK_INTERVAL_MILLIS / SECOND_MILLIS;
                    dueClaims >= 1;
                    dueClaims--) {
                newClaims.add(newClaim());
            }
            List<OutcomeReport> reports = newClaims.stream().map(KeyCosts::reportOf).toList();
            long startNanos = CostMeter.threadCpuNanos();
            newClaims.forEach(claim -> reduce(new OwnerEvent.ClaimReceived(claim, nowMillis)));
            long afterClaims = CostMeter.threadCpuNanos();
            reports.forEach(report -> reduce(new OwnerEvent.OutcomeReported(report, nowMillis)));
            long afterReports = CostMeter.threadCpuNanos();
            reduce(new OwnerEvent.Tick(nowMillis));
            while (!platformResponses.isEmpty()) {
                reduce(platformResponses.remove());
            }
            nanos[0] += afterClaims - startNanos;
            nanos[1] += afterReports - afterClaims;
            nanos[2] += CostMeter.threadCpuNanos() - afterReports;
        }
        return nanos;
    }

    private Claim newClaim() {
        claimCount++;
        IdempotencyKey key = randomKey();
        NodeInstance entry = new NodeInstance(fleet.node(0).id(), START_EPOCH_MILLIS);
        return new Claim(new ClaimId(entry, claimCount), key, fingerprint, 0, MAX_WORK_MILLIS);
    }

    /**
     * Creates a UUID of version 7 with the current virtual time, whose key falls into the measured
     * range.
     */
    private IdempotencyKey randomKey() {
        while (true) {
            long mostSignificantBits =
                    (START_EPOCH_MILLIS + nowMillis) << 16 | 0x7000 | random.nextInt(1 << 12);
            long leastSignificantBits = random.nextLong() >>> 2 | Long.MIN_VALUE;
            IdempotencyKey key =
                    new IdempotencyKey(
                            "organisation-" + random.nextInt(fleet.organisations()),
                            "route-" + random.nextInt(fleet.routes()),
                            new UUID(mostSignificantBits, leastSignificantBits));
            if (KeyRange.of(key).equals(MEASURED_RANGE)) {
                return key;
            }
        }
    }

    private static OutcomeReport reportOf(Claim claim) {
        StoredAnswer response =
                new StoredAnswer(
                        201,
                        java.util.Map.of(),
                        com.google.protobuf.ByteString.copyFrom(new byte[RESPONSE_BODY_BYTES]));
        return new OutcomeReport(
                claim.id(), claim.key(), new Outcome.Completed(201), Optional.of(response));
    }

    private void reduce(OwnerEvent event) {
        var step = reducer.reduce(state, event);
        state = step.state();
        step.effects().forEach(this::respondAsPlatform);
    }

    /** Counts granted claims, and responds to lease calls as a platform without other users. */
    private void respondAsPlatform(OwnerEffect effect) {
        if (effect instanceof OwnerEffect.AnswerClaim(ClaimId id, ClaimReply reply)) {
            grantedCount += reply instanceof ClaimReply.Granted ? 1 : 0;
        } else if (effect instanceof OwnerEffect.ReadLease(KeyRange range)) {
            platformResponses.add(
                    new OwnerEvent.LeaseRead(
                            range,
                            Optional.empty(),
                            0,
                            nowMillis,
                            nowMillis,
                            START_EPOCH_MILLIS + nowMillis));
        } else if (effect instanceof OwnerEffect.WriteLease write) {
            leaseWrites++;
            platformResponses.add(
                    new OwnerEvent.WriteAccepted(
                            write.lease(),
                            ++version,
                            write.sentMillis(),
                            nowMillis,
                            START_EPOCH_MILLIS + nowMillis));
        }
    }
}
