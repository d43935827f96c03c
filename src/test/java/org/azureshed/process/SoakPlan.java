package org.azureshed.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.azureshed.platform.standin.StoreStandIn;

/**
 * The faults of one seed. They come in series of one kind with short gaps; several series may
 * overlap.
 */
record SoakPlan(List<Step> steps) {
    /** Number of series that start per second of traffic. */
    private static final double SERIES_PER_SECOND = 0.7;

    private static final int MAX_FAULTS_PER_SERIES = 4;
    private static final int KIND_COUNT = 15;

    /** Share of the failures of targets that are copies, as one in this number. */
    private static final int COPIES_ONE_IN = 4;

    /**
     * Share of the store's failures that lose answers on connections that stay open, as one in this
     * number.
     */
    private static final int SWALLOWED_ONE_IN = 2;

    private static final List<SoakFault.TargetFailureKind> OTHER_TARGET_FAILURES =
            Stream.of(SoakFault.TargetFailureKind.values())
                    .filter(kind -> kind != SoakFault.TargetFailureKind.COPIES)
                    .toList();

    private static final long MAX_GAP_MILLIS = 1_200;
    private static final StoreStandIn.Fault[] STORE_FAULTS = {
        StoreStandIn.Fault.BUSY,
        StoreStandIn.Fault.RATE_LIMITED,
        StoreStandIn.Fault.LOST_ANSWERS,
        StoreStandIn.Fault.SILENT
    };

    /** A fault and when it starts, in milliseconds after the start of traffic. */
    record Step(long atMillis, SoakFault fault) {}

    /** Generates the faults of a run from its seed. */
    static SoakPlan generate(long seed, int nodes, long millis) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Step> steps = new ArrayList<>();
        int seriesCount = (int) Math.max(2, millis * SERIES_PER_SECOND / 1_000);
        for (int i = 0; i < seriesCount; i++) {
            long startMillis = random.nextLong(millis);
            int kind = random.nextInt(KIND_COUNT);
            int node = random.nextInt(nodes);
            int faultCount = 1 + random.nextInt(MAX_FAULTS_PER_SERIES);
            for (int faultIndex = 0;
                    faultIndex < faultCount && startMillis < millis;
                    faultIndex++) {
                steps.add(new Step(startMillis, generateFault(kind, node, random)));
                node = random.nextInt(3) == 0 ? node : (node + 1) % nodes;
                startMillis += random.nextLong(MAX_GAP_MILLIS);
            }
        }
        steps.sort(Comparator.comparingLong(Step::atMillis));
        return new SoakPlan(List.copyOf(steps));
    }

    private static SoakFault generateFault(int kind, int node, SplittableRandom random) {
        long shortMillis = 100 + random.nextLong(1_500);
        long longMillis = 500 + random.nextLong(4_000);
        SoakFault.Link link = SoakFault.Link.values()[random.nextInt(3)];
        return switch (kind) {
            case 0 -> new SoakFault.Kill(node, shortMillis);
            case 1 -> new SoakFault.Pause(node, longMillis);
            case 2 -> new SoakFault.Terminate(node);
            case 3 -> new SoakFault.RewriteSettings(node, random.nextBoolean());
            case 4 -> new SoakFault.ClockSetBack(node);
            case 5, 6 -> new SoakFault.Cut(node, link, randomDirection(random), longMillis);
            case 7 -> new SoakFault.Delay(node, link, 5 + random.nextLong(400), longMillis);
            case 8 -> new SoakFault.ResetConnections(node, link);
            case 9 -> new SoakFault.StallConnections(node, link);
            case 10 -> storeFault(random, longMillis);
            case 11, 12 -> targetFailure(node, random, longMillis);
            case 13 ->
                    random.nextBoolean()
                            ? new SoakFault.TargetCrash(node, shortMillis)
                            : new SoakFault.TargetDeparture(node, random.nextBoolean());
            default -> new SoakFault.Reconfigure();
        };
    }

    private static FaultInjectingRelay.Direction randomDirection(SplittableRandom random) {
        return switch (random.nextInt(3)) {
            case 0 -> FaultInjectingRelay.Direction.REQUESTS;
            case 1 -> FaultInjectingRelay.Direction.RESPONSES;
            default -> null;
        };
    }

    private static SoakFault storeFault(SplittableRandom random, long millis) {
        int kind = random.nextInt(STORE_FAULTS.length + 1);
        if (kind == STORE_FAULTS.length) {
            return new SoakFault.StoreHistoryLoss();
        }
        // Drawn beside the plan, like copies.
        boolean swallowed = new SplittableRandom(millis).nextInt(SWALLOWED_ONE_IN) == 0;
        return new SoakFault.StoreFailure(
                swallowed ? StoreStandIn.Fault.SWALLOWED_ANSWERS : STORE_FAULTS[kind], millis);
    }

    private static SoakFault targetFailure(int node, SplittableRandom random, long millis) {
        List<SoakFault.TargetFailureKind> kinds = OTHER_TARGET_FAILURES;
        SoakFault.TargetFailureKind drawn = kinds.get(random.nextInt(kinds.size()));
        double probability = 0.05 + 0.95 * random.nextDouble();
        // Drawn beside the plan, so that seeds that failed before keep the rest of theirs.
        SplittableRandom beside = new SplittableRandom(Double.doubleToLongBits(probability));
        boolean copies = beside.nextInt(COPIES_ONE_IN) == 0;
        return new SoakFault.TargetFailure(
                node, copies ? SoakFault.TargetFailureKind.COPIES : drawn, probability, millis);
    }
}
