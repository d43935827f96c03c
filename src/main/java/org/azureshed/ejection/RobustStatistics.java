package org.azureshed.ejection;

import java.util.Arrays;

/** Median and median absolute deviation (MAD) of a few values. */
record RobustStatistics(double median, double mad) {
    /** Factor from the MAD to the standard deviation of a normal distribution. */
    private static final double MAD_TO_SIGMA = 1.4826;

    static RobustStatistics of(double[] values) {
        double median = median(values);
        double[] deviations =
                Arrays.stream(values).map(value -> Math.abs(value - median)).toArray();
        return new RobustStatistics(median, median(deviations));
    }

    /** The modified z-score of a value, with a lower bound for the standard deviation. */
    double zScore(double value, double smallestSigma) {
        double sigma = Math.max(MAD_TO_SIGMA * mad, smallestSigma);
        if (sigma > 0) {
            return (value - median) / sigma;
        }
        return value > median ? Double.POSITIVE_INFINITY : 0;
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }
}
