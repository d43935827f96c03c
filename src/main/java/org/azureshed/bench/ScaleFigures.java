package org.azureshed.bench;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToIntFunction;

/** Figures of several sizes and their slopes. */
final class ScaleFigures {
    private final String bench;
    private final Map<String, Map<ScalePoint, Double>> byMetric = new LinkedHashMap<>();

    ScaleFigures(String bench) {
        this.bench = bench;
    }

    /** Points of which the partial one has less of the second quantity than the large one only. */
    record Slope(ScalePoint small, ScalePoint partial, ScalePoint large) {}

    /** Something that points differ in. */
    record Quantity(String name, ToIntFunction<ScalePoint> of) {
        double between(ScalePoint from, ScalePoint to) {
            return of.applyAsInt(to) - of.applyAsInt(from);
        }
    }

    void add(ScalePoint point, String metric, double value) {
        byMetric.computeIfAbsent(metric, name -> new LinkedHashMap<>()).put(point, value);
        System.out.printf(
                Locale.ROOT,
                "bench=%s nodes=%d instances=%d routes=%d organisations=%d metric=%s value=%.3f%n",
                bench,
                point.nodes(),
                point.instances(),
                point.routes(),
                point.organisations(),
                metric,
                value);
    }

    /** Prints the slopes of all metrics with a prefix by two quantities. */
    void printSlopes(String prefix, Slope points, Quantity first, Quantity second) {
        byMetric.forEach(
                (metric, values) -> {
                    if (metric.startsWith(prefix)) {
                        printSlope(metric, values, points, first, second);
                    }
                });
    }

    private void printSlope(
            String metric,
            Map<ScalePoint, Double> values,
            Slope points,
            Quantity first,
            Quantity second) {
        double large = values.get(points.large());
        double bySecond =
                (large - values.get(points.partial()))
                        / second.between(points.partial(), points.large());
        double ofSecond = bySecond * second.between(points.small(), points.large());
        double byFirst =
                (large - values.get(points.small()) - ofSecond)
                        / first.between(points.small(), points.large());
        System.out.printf(
                Locale.ROOT,
                "bench=%s_slope metric=%s per_%s=%.6f per_%s=%.6f%n",
                bench,
                metric,
                first.name(),
                byFirst,
                second.name(),
                bySecond);
    }
}
