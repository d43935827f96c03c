package org.azureshed.bench;

import java.util.List;

/**
 * Measures reducers and codecs with synthetic fleets of several sizes, and prints key=value lines
 * with each metric and its slopes.
 *
 * <p>Times are processor time of the measuring thread. Bytes of gossip include what a node sends
 * and what it receives. Two of the fleets differ from the largest one only in having fewer
 * instances or organisations, so that the slopes of these can be separated from those of nodes and
 * routes.
 */
public final class ScaleBench {
    private static final SyntheticFleet SMALL = new SyntheticFleet(300, 3_500, 5_000, 12_000);
    private static final SyntheticFleet MEDIUM = new SyntheticFleet(1_200, 14_000, 15_000, 36_000);
    static final SyntheticFleet LARGE = new SyntheticFleet(2_400, 28_000, 30_000, 71_000);
    private static final SyntheticFleet FEWER_INSTANCES =
            new SyntheticFleet(2_400, 14_000, 30_000, 71_000);
    private static final SyntheticFleet FEWER_ORGANISATIONS =
            new SyntheticFleet(2_400, 28_000, 30_000, 12_000);

    private ScaleBench() {}

    /**
     * Runs all sizes.
     *
     * @param args {@code health} to measure only ejection, key ranges and suspect requests; none to
     *     measure everything
     */
    public static void main(String[] args) {
        measureHealthCosts();
        if (args.length == 0) {
            measureViewsAndPresets();
        }
    }

    private static void measureHealthCosts() {
        ScaleMetrics warmUpMetrics = new ScaleMetrics("warm_up");
        measureHealthCosts(SMALL, warmUpMetrics);
        ScaleMetrics metrics = new ScaleMetrics("scale");
        for (SyntheticFleet fleet : List.of(SMALL, MEDIUM, LARGE, FEWER_INSTANCES)) {
            measureHealthCosts(fleet, metrics);
        }
        for (String prefix : List.of("health", "key", "poison")) {
            printSlopesByNodeAndInstance(metrics, prefix);
        }
    }

    private static void measureHealthCosts(SyntheticFleet fleet, ScaleMetrics metrics) {
        new HealthCosts(fleet, metrics).measure();
        new KeyCosts(fleet, metrics).measure();
        new PoisonCosts(fleet, metrics).measure();
    }

    private static void measureViewsAndPresets() {
        // The first run, with the smallest fleet, only warms up the JIT compiler.
        ScaleMetrics warmUpMetrics = new ScaleMetrics("warm_up");
        new ViewCosts(SMALL, warmUpMetrics).measure();
        new PresetCosts(SMALL, warmUpMetrics).measure();
        ScaleMetrics metrics = new ScaleMetrics("scale");
        for (SyntheticFleet fleet : List.of(SMALL, MEDIUM, LARGE, FEWER_INSTANCES)) {
            new ViewCosts(fleet, metrics).measure();
            new GossipCosts(fleet, metrics).measure();
        }
        for (SyntheticFleet fleet : List.of(SMALL, MEDIUM, LARGE, FEWER_ORGANISATIONS)) {
            new PresetCosts(fleet, metrics).measure();
        }
        for (String prefix : List.of("view", "gossip")) {
            printSlopesByNodeAndInstance(metrics, prefix);
        }
        metrics.printSlopes(
                "preset",
                new ScaleMetrics.SlopePoints(SMALL, FEWER_ORGANISATIONS, LARGE),
                new ScaleMetrics.Quantity("route", SyntheticFleet::routes),
                new ScaleMetrics.Quantity("organisation", SyntheticFleet::organisations));
    }

    private static void printSlopesByNodeAndInstance(ScaleMetrics metrics, String prefix) {
        metrics.printSlopes(
                prefix,
                new ScaleMetrics.SlopePoints(SMALL, FEWER_INSTANCES, LARGE),
                new ScaleMetrics.Quantity("node", SyntheticFleet::nodes),
                new ScaleMetrics.Quantity("instance", SyntheticFleet::instances));
    }
}
