package org.azureshed.bench;

import java.util.List;

/**
 * Measures reducers and codecs with generated views at several sizes, and prints key=value lines
 * with each figure and its slopes.
 *
 * <p>Times are processor time of the measuring thread. Bytes of gossip count what a node sends and
 * receives. Two of the points have fewer instances or organisations only, so that their slopes can
 * be told from those of nodes and routes.
 */
public final class ScaleBench {
    private static final ScalePoint SMALL = new ScalePoint(300, 3_500, 5_000, 12_000);
    private static final ScalePoint MEDIUM = new ScalePoint(1_200, 14_000, 15_000, 36_000);
    static final ScalePoint LARGE = new ScalePoint(2_400, 28_000, 30_000, 71_000);
    private static final ScalePoint FEWER_INSTANCES = new ScalePoint(2_400, 14_000, 30_000, 71_000);
    private static final ScalePoint FEWER_ORGANISATIONS =
            new ScalePoint(2_400, 28_000, 30_000, 12_000);

    private ScaleBench() {}

    /**
     * Runs all sizes.
     *
     * @param args {@code health} to measure key ranges, ejection and poison only, or none
     */
    public static void main(String[] args) {
        measureHealth();
        if (args.length == 0) {
            measureViewsAndPresets();
        }
    }

    private static void measureHealth() {
        ScaleFigures warm = new ScaleFigures("warm_up");
        measureHealth(SMALL, warm);
        ScaleFigures figures = new ScaleFigures("scale");
        for (ScalePoint point : List.of(SMALL, MEDIUM, LARGE, FEWER_INSTANCES)) {
            measureHealth(point, figures);
        }
        for (String prefix : List.of("health", "key", "poison")) {
            printViewSlopes(figures, prefix);
        }
    }

    private static void measureHealth(ScalePoint point, ScaleFigures figures) {
        new HealthCosts(point, figures).measure();
        new KeyCosts(point, figures).measure();
        new PoisonCosts(point, figures).measure();
    }

    private static void measureViewsAndPresets() {
        // The first run of the smallest size only warms the code up.
        ScaleFigures warm = new ScaleFigures("warm_up");
        new ViewCosts(SMALL, warm).measure();
        new PresetCosts(SMALL, warm).measure();
        ScaleFigures figures = new ScaleFigures("scale");
        for (ScalePoint point : List.of(SMALL, MEDIUM, LARGE, FEWER_INSTANCES)) {
            new ViewCosts(point, figures).measure();
            new GossipCosts(point, figures).measure();
        }
        for (ScalePoint point : List.of(SMALL, MEDIUM, LARGE, FEWER_ORGANISATIONS)) {
            new PresetCosts(point, figures).measure();
        }
        for (String prefix : List.of("view", "gossip")) {
            printViewSlopes(figures, prefix);
        }
        figures.printSlopes(
                "preset",
                new ScaleFigures.Slope(SMALL, FEWER_ORGANISATIONS, LARGE),
                new ScaleFigures.Quantity("route", ScalePoint::routes),
                new ScaleFigures.Quantity("organisation", ScalePoint::organisations));
    }

    private static void printViewSlopes(ScaleFigures figures, String prefix) {
        figures.printSlopes(
                prefix,
                new ScaleFigures.Slope(SMALL, FEWER_INSTANCES, LARGE),
                new ScaleFigures.Quantity("node", ScalePoint::nodes),
                new ScaleFigures.Quantity("instance", ScalePoint::instances));
    }
}
