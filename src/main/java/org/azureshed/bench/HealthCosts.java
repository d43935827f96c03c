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
 * Measures the processor time and the heap that ejection needs on one node, for the digests of the
 * targets in its subsets and for the tick of each second, which also updates the view of the
 * services.
 *
 * <p>The node receives its share of 280,000 requests/s; each response carries a digest. The
 * requests go to all services, to one in five of them ({@code busy_}), so that every target in use
 * has a recent digest, or to none ({@code idle_}).
 */
final class HealthCosts {
    /** One node's share of 280,000 requests/s at 2,400 nodes. */
    private static final int DIGESTS_PER_SECOND = 117;

    /**
     * Number of nodes that keep a connection to one target, as in the subsetting of the routing
     * code: a target of the present services accepts 350 connections.
     */
    private static final int NODES_PER_TARGET = 350;

    private static final int MIN_SUBSET_SIZE = 4;
    private static final int BUSY_SERVICES_DIVISOR = 5;
    private static final int WARM_UP_SECONDS = 60;
    private static final int MEASURED_SECONDS = 30;
    private static final long SECOND_MILLIS = 1_000;
    private static final int SAMPLES_PER_DIGEST = 40;
    private static final double MEDIAN_MICROS = 50_000;
    private static final double MEDIAN_SPREAD = 0.1;

    private record ServiceTarget(String service, TargetId target) {}

    private final SyntheticFleet fleet;
    private final ScaleMetrics metrics;
    private final SplittableRandom random = new SplittableRandom(42);
    private final ControlReducer reducer = new ControlReducer();
    private final EjectionReducer ejectionReducer = new EjectionReducer();
    private ControlState state;
    private long nowMillis;

    HealthCosts(SyntheticFleet fleet, ScaleMetrics metrics) {
        this.fleet = fleet;
        this.metrics = metrics;
    }

    void measure() {
        state = ControlState.initial(fleet.node(0));
        reduce(new ControlEvent.NodesListed(fleet.otherNodes()));
        reduce(
                new ControlEvent.PresetReceived(
                        new ActivePreset(1, new SyntheticFleet(1, 1, 1, 1).preset(0))));
        List<List<ServiceTarget>> subsets = subsets();
        long heapBytesBefore = CostMeter.usedHeapBytes();
        measureLoad(subsets, "", WARM_UP_SECONDS);
        metrics.add(fleet, "health_heap_bytes", CostMeter.usedHeapBytes() - heapBytesBefore);
        measureLoad(
                subsets.subList(0, subsets.size() / BUSY_SERVICES_DIVISOR),
                "busy_",
                WARM_UP_SECONDS);
        measureLoad(List.of(), "idle_", WARM_UP_SECONDS);
    }

    private List<List<ServiceTarget>> subsets() {
        List<List<ServiceTarget>> targetsByService = new ArrayList<>();
        for (int i = 0; i < SyntheticFleet.SERVICES; i++) {
            targetsByService.add(new ArrayList<>());
        }
        for (NodeInfo node : fleet.otherNodes()) {
            for (TargetInfo target : node.targets()) {
                int service = Integer.parseInt(target.service().substring("service-".length()));
                targetsByService.get(service).add(new ServiceTarget(target.service(), target.id()));
            }
        }
        return targetsByService.stream()
                .map(
                        targets ->
                                targets.subList(
                                        0, Math.min(targets.size(), subsetSize(targets.size()))))
                .toList();
    }

    private int subsetSize(int targets) {
        return Math.max(MIN_SUBSET_SIZE, Math.ceilDiv(NODES_PER_TARGET * targets, fleet.nodes()));
    }

    private void measureLoad(
            List<List<ServiceTarget>> subsets, String loadPrefix, int warmUpSeconds) {
        runSeconds(subsets, warmUpSeconds);
        double[] nanos = runSeconds(subsets, MEASURED_SECONDS);
        metrics.add(
                fleet,
                "health_" + loadPrefix + "digests_us_per_s",
                nanos[0] / SECOND_MILLIS / MEASURED_SECONDS);
        metrics.add(
                fleet,
                "health_" + loadPrefix + "tick_us",
                nanos[1] / SECOND_MILLIS / MEASURED_SECONDS);
        metrics.add(
                fleet,
                "health_" + loadPrefix + "tick_without_view_us",
                nanos[2] / 1e3 / MEASURED_SECONDS);
    }

    /**
     * Runs the node for some seconds of virtual time.
     *
     * @return processor time in nanoseconds: of the digests, of the ticks, and of ticks that only
     *     the ejection reducer handles
     */
    private double[] runSeconds(List<List<ServiceTarget>> subsets, int seconds) {
        double[] nanos = new double[3];
        for (int i = 0; i < seconds; i++) {
            nowMillis += SECOND_MILLIS;
            List<ControlEvent> digests = subsets.isEmpty() ? List.of() : digests(subsets);
            long startNanos = CostMeter.threadCpuNanos();
            digests.forEach(this::reduce);
            long afterDigests = CostMeter.threadCpuNanos();
            EjectionEvent.Tick tick = new EjectionEvent.Tick(nowMillis, random.nextLong());
            var ejectionOnly = ejectionReducer.reduce(state.health().ejection(), tick);
            long afterEjectionOnly = CostMeter.threadCpuNanos();
            reduce(new ControlEvent.Ejection(tick));
            long endNanos = CostMeter.threadCpuNanos();
            nanos[0] += afterDigests - startNanos;
            nanos[1] += endNanos - afterEjectionOnly;
            nanos[2] += afterEjectionOnly - afterDigests;
            if (ejectionOnly.state().nowMillis() != nowMillis) {
                throw new IllegalStateException(
                        "the tick did not advance the time of the ejection state");
            }
        }
        return nanos;
    }

    private List<ControlEvent> digests(List<List<ServiceTarget>> subsets) {
        List<ControlEvent> events = new ArrayList<>();
        for (int i = 0; i < DIGESTS_PER_SECOND; i++) {
            List<ServiceTarget> subset = subsets.get(random.nextInt(subsets.size()));
            ServiceTarget target = subset.get(random.nextInt(subset.size()));
            long medianMicros = (long) (MEDIAN_MICROS * (1 + MEDIAN_SPREAD * random.nextDouble()));
            ClassDigest page =
                    new ClassDigest(
                            "page",
                            SAMPLES_PER_DIGEST,
                            0,
                            SAMPLES_PER_DIGEST,
                            medianMicros,
                            2 * medianMicros,
                            4 * medianMicros,
                            SECOND_MILLIS);
            events.add(
                    new ControlEvent.Ejection(
                            new EjectionEvent.DigestReceived(
                                    target.service(),
                                    target.target(),
                                    new TargetDigest(nowMillis, List.of(page)))));
        }
        return events;
    }

    private void reduce(ControlEvent event) {
        state = reducer.reduce(state, event).state();
    }
}
