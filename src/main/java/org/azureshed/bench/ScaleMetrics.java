package org.azureshed.bench;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToIntFunction;

/** Prints and collects the metrics of fleets of several sizes, and computes their slopes. */
final class ScaleMetrics {
    private final String benchName;
    private final Map<String, Map<SyntheticFleet, Double>> valuesByMetric = new LinkedHashMap<>();

    ScaleMetrics(String benchName) {
        this.benchName = benchName;
    }

    /**
     * The fleets between which slopes are computed.
     *
     * @param small differs from the large fleet in both quantities
     * @param partial differs from the large fleet only in having less of the second quantity
     * @param large the largest fleet
     */
    record SlopePoints(SyntheticFleet small, SyntheticFleet partial, SyntheticFleet large) {}

    /** A quantity in which the fleets differ, such as the number of nodes. */
    record Quantity(String name, ToIntFunction<SyntheticFleet> value) {
        double difference(SyntheticFleet from, SyntheticFleet to) {
            return value.applyAsInt(to) - value.applyAsInt(from);
        }
    }

    /** Prints a metric and keeps it for the slopes. */
    void add(SyntheticFleet fleet, String metric, double value) {
        valuesByMetric.computeIfAbsent(metric, name -> new LinkedHashMap<>()).put(fleet, value);
        System.out.printf(
                Locale.ROOT,
                "bench=%s nodes=%d instances=%d routes=%d organisations=%d metric=%s value=%.3f%n",
                benchName,
                fleet.nodes(),
                fleet.instances(),
                fleet.routes(),
                fleet.organisations(),
                metric,
                value);
    }

    /** Prints the slopes of all metrics with a prefix, per unit of each of two quantities. */
    void printSlopes(
            String prefix, SlopePoints fleets, Quantity firstQuantity, Quantity secondQuantity) {
        valuesByMetric.forEach(
                (metric, values) -> {
                    if (metric.startsWith(prefix)) {
                        printSlope(metric, values, fleets, firstQuantity, secondQuantity);
                    }
                });
    }

    private void printSlope(
            String metric,
            Map<SyntheticFleet, Double> values,
            SlopePoints fleets,
            Quantity firstQuantity,
            Quantity secondQuantity) {
        double large = values.get(fleets.large());
        // The metric is taken to be linear in both quantities.
        double slopeOfSecond =
                (large - values.get(fleets.partial()))
                        / secondQuantity.difference(fleets.partial(), fleets.large());
        double shareOfSecond =
                slopeOfSecond * secondQuantity.difference(fleets.small(), fleets.large());
        double slopeOfFirst =
                (large - values.get(fleets.small()) - shareOfSecond)
                        / firstQuantity.difference(fleets.small(), fleets.large());
        System.out.printf(
                Locale.ROOT,
                "bench=%s_slope metric=%s per_%s=%.6f per_%s=%.6f%n",
                benchName,
                metric,
                firstQuantity.name(),
                slopeOfFirst,
                secondQuantity.name(),
                slopeOfSecond);
    }
}
