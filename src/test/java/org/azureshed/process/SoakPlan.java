package org.azureshed.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.azureshed.platform.standin.StoreStandIn;

/**
 * The faults of one seed. They come in series of one kind with short pauses, and series overlap.
 */
record SoakPlan(List<Step> steps) {
    /** Mean number of series that are under way at the same time. */
    private static final double SERIES_PER_SECOND = 0.7;

    private static final int MAX_SERIES = 4;
    private static final int KINDS = 15;
    private static final long MAX_GAP_MILLIS = 1_200;
    private static final StoreStandIn.Fault[] STORE_FAULTS = {
        StoreStandIn.Fault.BUSY,
        StoreStandIn.Fault.RATE_LIMITED,
        StoreStandIn.Fault.LOST_ANSWERS,
        StoreStandIn.Fault.SILENT
    };

    /** A fault and when it starts, in milliseconds after the start of traffic. */
    record Step(long atMillis, SoakFault fault) {}

    /** Draws the faults of a run. */
    static SoakPlan draw(long seed, int nodes, long millis) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Step> steps = new ArrayList<>();
        int series = (int) Math.max(2, millis * SERIES_PER_SECOND / 1_000);
        for (int i = 0; i < series; i++) {
            long at = random.nextLong(millis);
            int kind = random.nextInt(KINDS);
            int node = random.nextInt(nodes);
            int count = 1 + random.nextInt(MAX_SERIES);
            for (int step = 0; step < count && at < millis; step++) {
                steps.add(new Step(at, fault(kind, node, random)));
                node = random.nextInt(3) == 0 ? node : (node + 1) % nodes;
                at += random.nextLong(MAX_GAP_MILLIS);
            }
        }
        steps.sort(Comparator.comparingLong(Step::atMillis));
        return new SoakPlan(List.copyOf(steps));
    }

    private static SoakFault fault(int kind, int node, SplittableRandom random) {
        long shortMillis = 100 + random.nextLong(1_500);
        long longMillis = 500 + random.nextLong(4_000);
        SoakFault.Link link = SoakFault.Link.values()[random.nextInt(3)];
        return switch (kind) {
            case 0 -> new SoakFault.Kill(node, shortMillis);
            case 1 -> new SoakFault.Pause(node, longMillis);
            case 2 -> new SoakFault.Terminate(node);
            case 3 -> new SoakFault.Resettle(node, random.nextBoolean());
            case 4 -> new SoakFault.ClockBehind(node);
            case 5, 6 -> new SoakFault.Cut(node, link, direction(random), longMillis);
            case 7 -> new SoakFault.Delay(node, link, 5 + random.nextLong(400), longMillis);
            case 8 -> new SoakFault.Reset(node, link);
            case 9 -> new SoakFault.Silence(node, link);
            case 10 -> store(random, longMillis);
            case 11, 12 -> targetFails(node, random, longMillis);
            case 13 ->
                    random.nextBoolean()
                            ? new SoakFault.TargetCrashes(node, shortMillis)
                            : new SoakFault.TargetLeaves(node, random.nextBoolean());
            default -> new SoakFault.Reconfigure();
        };
    }

    private static FaultInjectingRelay.Direction direction(SplittableRandom random) {
        return switch (random.nextInt(3)) {
            case 0 -> FaultInjectingRelay.Direction.REQUESTS;
            case 1 -> FaultInjectingRelay.Direction.RESPONSES;
            default -> null;
        };
    }

    private static SoakFault store(SplittableRandom random, long millis) {
        int kind = random.nextInt(STORE_FAULTS.length + 1);
        return kind == STORE_FAULTS.length
                ? new SoakFault.HistoryDropped()
                : new SoakFault.StoreFails(STORE_FAULTS[kind], millis);
    }

    private static SoakFault targetFails(int node, SplittableRandom random, long millis) {
        SoakFault.TargetTrouble[] kinds = SoakFault.TargetTrouble.values();
        SoakFault.TargetTrouble trouble = kinds[random.nextInt(kinds.length)];
        return new SoakFault.TargetFails(node, trouble, 0.05 + 0.95 * random.nextDouble(), millis);
    }
}
