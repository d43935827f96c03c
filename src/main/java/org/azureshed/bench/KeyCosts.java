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
 * Measures what the owner of one key range and a node without ranges spend.
 *
 * <p>1% of the requests are keyed. The owner is run over a whole retention period of virtual time,
 * so that records are dropped as fast as they are granted, before it is measured.
 */
final class KeyCosts {
    /** 1% of the share of one node in 280,000 requests/s of 2,400 nodes. */
    private static final double KEYED_PER_NODE_SECOND = 280_000 * 0.01 / 2_400;

    private static final KeyRange RANGE = new KeyRange(0);
    private static final long START_MILLIS = 1_796_000_000_000L;
    private static final long TICK_MILLIS = 200;
    private static final long SECOND_MILLIS = 1_000;
    private static final int FILL_SECONDS = 620;
    private static final int SECONDS = 60;
    private static final int PLACEMENTS = 20;
    private static final long PLACEMENT_MILLIS = 5_000;
    private static final long WORK_MILLIS = 2_000;
    private static final int ANSWER_BYTES = 64;

    private final ScalePoint point;
    private final ScaleFigures figures;
    private final SplittableRandom random = new SplittableRandom(42);
    private final OwnerReducer reducer = new OwnerReducer(KeyTiming.STANDARD);
    private final Queue<OwnerEvent> answers = new ArrayDeque<>();
    private final ContentFingerprint fingerprint =
            ContentFingerprint.of("POST", "/submissions", new byte[0]);
    private OwnerState state;
    private long nowMillis = 1;
    private long version;
    private long claims;
    private long granted;
    private long renewals;
    private double due;

    KeyCosts(ScalePoint point, ScaleFigures figures) {
        this.point = point;
        this.figures = figures;
    }

    void measure() {
        measurePlacement();
        measureOwner();
    }

    /** What each node does every 5 s, whether it owns ranges or not. */
    private void measurePlacement() {
        ControlReducer control = new ControlReducer();
        ControlState[] fleet = {ControlState.initial(point.node(0))};
        fleet[0] = control.reduce(fleet[0], new ControlEvent.NodesListed(point.others())).state();
        figures.add(
                point,
                "key_placement_us",
                CostMeter.micros(
                        PLACEMENTS,
                        PLACEMENTS,
                        i ->
                                fleet[0] =
                                        control.reduce(fleet[0], tick(i * PLACEMENT_MILLIS))
                                                .state()));
    }

    private static ControlEvent tick(long millis) {
        return new ControlEvent.Keys(new OwnerEvent.Tick(millis));
    }

    private void measureOwner() {
        List<OwnerCandidate> candidates = new ArrayList<>();
        candidates.add(candidate(point.node(0)));
        point.others().forEach(node -> candidates.add(candidate(node)));
        RangePlacement placement = new RangePlacement(candidates);
        state = OwnerState.initial(placement.best(RANGE).orElseThrow());
        reduce(new OwnerEvent.ViewChanged(placement, nowMillis));
        // Keys that are older than the lease would be refused.
        run(10, 0);
        long before = CostMeter.heapBytes();
        run(FILL_SECONDS, claimsPerSecond());
        long records = granted;
        figures.add(point, "key_heap_bytes", CostMeter.heapBytes() - before);
        renewals = 0;
        double[] nanos = run(SECONDS, claimsPerSecond());
        if (granted != claims) {
            throw new IllegalStateException(claims - granted + " claims were refused");
        }
        long measured = granted - records;
        figures.add(point, "key_claims_per_s", (double) measured / SECONDS);
        figures.add(point, "key_claim_us", nanos[0] / 1e3 / measured);
        figures.add(point, "key_outcome_us", nanos[1] / 1e3 / measured);
        figures.add(point, "key_ticks_us_per_s", nanos[2] / 1e3 / SECONDS);
        figures.add(point, "key_owner_us_per_s", (nanos[0] + nanos[1] + nanos[2]) / 1e3 / SECONDS);
        figures.add(point, "key_writes_per_s", (double) renewals / SECONDS);
    }

    private double claimsPerSecond() {
        return KEYED_PER_NODE_SECOND * point.nodes() / KeyRange.COUNT;
    }

    private static OwnerCandidate candidate(NodeInfo node) {
        return new OwnerCandidate(
                new NodeInstance(node.id(), node.incarnation()), node.availabilityZone());
    }

    /** Processor nanoseconds of claims, outcomes, and of ticks with the answers of the platform. */
    private double[] run(int seconds, double claimsPerSecond) {
        double[] nanos = new double[3];
        long end = nowMillis + seconds * SECOND_MILLIS;
        while (nowMillis < end) {
            nowMillis += TICK_MILLIS;
            List<Claim> arrived = new ArrayList<>();
            for (due += claimsPerSecond * TICK_MILLIS / SECOND_MILLIS; due >= 1; due--) {
                arrived.add(claim());
            }
            List<OutcomeReport> reports = arrived.stream().map(KeyCosts::report).toList();
            long start = CostMeter.cpuNanos();
            arrived.forEach(claim -> reduce(new OwnerEvent.ClaimReceived(claim, nowMillis)));
            long afterClaims = CostMeter.cpuNanos();
            reports.forEach(report -> reduce(new OwnerEvent.OutcomeReported(report, nowMillis)));
            long afterReports = CostMeter.cpuNanos();
            reduce(new OwnerEvent.Tick(nowMillis));
            while (!answers.isEmpty()) {
                reduce(answers.remove());
            }
            nanos[0] += afterClaims - start;
            nanos[1] += afterReports - afterClaims;
            nanos[2] += CostMeter.cpuNanos() - afterReports;
        }
        return nanos;
    }

    private Claim claim() {
        claims++;
        IdempotencyKey key = key();
        NodeInstance entry = new NodeInstance(point.node(0).id(), START_MILLIS);
        return new Claim(new ClaimId(entry, claims), key, fingerprint, 0, WORK_MILLIS);
    }

    /** A key of the present time in the measured range. */
    private IdempotencyKey key() {
        while (true) {
            long first = (START_MILLIS + nowMillis) << 16 | 0x7000 | random.nextInt(1 << 12);
            long second = random.nextLong() >>> 2 | Long.MIN_VALUE;
            IdempotencyKey key =
                    new IdempotencyKey(
                            "organisation-" + random.nextInt(point.organisations()),
                            "route-" + random.nextInt(point.routes()),
                            new UUID(first, second));
            if (KeyRange.of(key).equals(RANGE)) {
                return key;
            }
        }
    }

    private static OutcomeReport report(Claim claim) {
        StoredAnswer answer =
                new StoredAnswer(
                        201,
                        java.util.Map.of(),
                        com.google.protobuf.ByteString.copyFrom(new byte[ANSWER_BYTES]));
        return new OutcomeReport(
                claim.id(), claim.key(), new Outcome.Completed(201), Optional.of(answer));
    }

    private void reduce(OwnerEvent event) {
        var step = reducer.reduce(state, event);
        state = step.state();
        step.effects().forEach(this::answer);
    }

    /** Answers as a platform of which this node is the only user. */
    private void answer(OwnerEffect effect) {
        if (effect instanceof OwnerEffect.AnswerClaim(ClaimId id, ClaimReply reply)) {
            granted += reply instanceof ClaimReply.Granted ? 1 : 0;
        } else if (effect instanceof OwnerEffect.ReadLease(KeyRange range)) {
            answers.add(
                    new OwnerEvent.LeaseRead(
                            range,
                            Optional.empty(),
                            0,
                            nowMillis,
                            nowMillis,
                            START_MILLIS + nowMillis));
        } else if (effect instanceof OwnerEffect.WriteLease write) {
            renewals++;
            answers.add(
                    new OwnerEvent.WriteAccepted(
                            write.lease(),
                            ++version,
                            write.sentMillis(),
                            nowMillis,
                            START_MILLIS + nowMillis));
        }
    }
}
