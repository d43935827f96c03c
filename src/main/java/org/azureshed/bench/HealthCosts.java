package org.azureshed.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.azureshed.control.ActivePreset;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlReducer;
import org.azureshed.control.ControlState;
import org.azureshed.ejection.ClassDigest;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.ejection.EjectionReducer;
import org.azureshed.ejection.TargetDigest;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;

/**
 * Measures what ejection costs a node: digests of the targets in its subsets, and the tick of each
 * second with the view of the services.
 *
 * <p>A node takes its share of 280,000 requests/s, each with a digest. The requests go to all
 * services, or to one in five of them, so that every target in use has a fresh digest.
 */
final class HealthCosts {
    /** Share of one node in 280,000 requests/s of 2,400 nodes. */
    private static final int DIGESTS_PER_SECOND = 117;

    /** Connections of a target are held by about this many nodes, see the design page. */
    private static final int NODES_PER_TARGET = 350;

    private static final int MIN_SUBSET = 4;
    private static final int BUSY_SHARE = 5;
    private static final int SETTLE_SECONDS = 60;
    private static final int SECONDS = 30;
    private static final long SECOND_MILLIS = 1_000;
    private static final int SAMPLES = 40;
    private static final double MEDIAN_MICROS = 50_000;
    private static final double MEDIAN_SPREAD = 0.1;

    private record Used(String service, TargetId target) {}

    private final ScalePoint point;
    private final ScaleFigures figures;
    private final SplittableRandom random = new SplittableRandom(42);
    private final ControlReducer reducer = new ControlReducer();
    private final EjectionReducer ejection = new EjectionReducer();
    private ControlState state;
    private long nowMillis;

    HealthCosts(ScalePoint point, ScaleFigures figures) {
        this.point = point;
        this.figures = figures;
    }

    void measure() {
        state = ControlState.initial(point.node(0));
        reduce(new ControlEvent.NodesListed(point.others()));
        reduce(
                new ControlEvent.PresetReceived(
                        new ActivePreset(1, new ScalePoint(1, 1, 1, 1).preset(0))));
        List<List<Used>> subsets = subsets();
        long before = CostMeter.heapBytes();
        run(subsets, "", SETTLE_SECONDS);
        figures.add(point, "health_heap_bytes", CostMeter.heapBytes() - before);
        run(subsets.subList(0, subsets.size() / BUSY_SHARE), "busy_", SETTLE_SECONDS);
        run(List.of(), "idle_", SETTLE_SECONDS);
    }

    private List<List<Used>> subsets() {
        List<List<Used>> byService = new ArrayList<>();
        for (int i = 0; i < ScalePoint.SERVICES; i++) {
            byService.add(new ArrayList<>());
        }
        for (NodeInfo node : point.others()) {
            for (TargetInfo target : node.targets()) {
                int service = Integer.parseInt(target.service().substring("service-".length()));
                byService.get(service).add(new Used(target.service(), target.id()));
            }
        }
        return byService.stream()
                .map(all -> all.subList(0, Math.min(all.size(), subset(all.size()))))
                .toList();
    }

    private int subset(int targets) {
        return Math.max(MIN_SUBSET, Math.ceilDiv(NODES_PER_TARGET * targets, point.nodes()));
    }

    private void run(List<List<Used>> subsets, String load, int settleSeconds) {
        second(subsets, settleSeconds);
        double[] nanos = second(subsets, SECONDS);
        figures.add(
                point, "health_" + load + "digests_us_per_s", nanos[0] / SECOND_MILLIS / SECONDS);
        figures.add(point, "health_" + load + "tick_us", nanos[1] / SECOND_MILLIS / SECONDS);
        figures.add(point, "health_" + load + "tick_without_view_us", nanos[2] / 1e3 / SECONDS);
    }

    /** Processor nanoseconds of digests, of ticks, and of ticks of ejection alone. */
    private double[] second(List<List<Used>> subsets, int seconds) {
        double[] nanos = new double[3];
        for (int i = 0; i < seconds; i++) {
            nowMillis += SECOND_MILLIS;
            List<ControlEvent> digests = subsets.isEmpty() ? List.of() : digests(subsets);
            long start = CostMeter.cpuNanos();
            digests.forEach(this::reduce);
            long afterDigests = CostMeter.cpuNanos();
            EjectionEvent.Tick tick = new EjectionEvent.Tick(nowMillis, random.nextLong());
            var alone = ejection.reduce(state.health().ejection(), tick);
            long afterAlone = CostMeter.cpuNanos();
            reduce(new ControlEvent.Ejection(tick));
            long end = CostMeter.cpuNanos();
            nanos[0] += afterDigests - start;
            nanos[1] += end - afterAlone;
            nanos[2] += afterAlone - afterDigests;
            if (alone.state().nowMillis() != nowMillis) {
                throw new IllegalStateException("the tick had no effect");
            }
        }
        return nanos;
    }

    private List<ControlEvent> digests(List<List<Used>> subsets) {
        List<ControlEvent> events = new ArrayList<>();
        for (int i = 0; i < DIGESTS_PER_SECOND; i++) {
            List<Used> subset = subsets.get(random.nextInt(subsets.size()));
            Used used = subset.get(random.nextInt(subset.size()));
            long median = (long) (MEDIAN_MICROS * (1 + MEDIAN_SPREAD * random.nextDouble()));
            ClassDigest page =
                    new ClassDigest(
                            "page",
                            SAMPLES,
                            0,
                            SAMPLES,
                            median,
                            2 * median,
                            4 * median,
                            SECOND_MILLIS);
            events.add(
                    new ControlEvent.Ejection(
                            new EjectionEvent.DigestReceived(
                                    used.service(),
                                    used.target(),
                                    new TargetDigest(nowMillis, List.of(page)))));
        }
        return events;
    }

    private void reduce(ControlEvent event) {
        state = reducer.reduce(state, event).state();
    }
}
