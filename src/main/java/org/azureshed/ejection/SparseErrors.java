package org.azureshed.ejection;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Evaluates the errors of a target that gets too few requests for a window of the usual size.
 * Routing avoids a failing target because of its load reports, so it gets only a few requests in
 * half a minute. By the exact binomial distribution, three errors among them are already strong
 * evidence.
 */
final class SparseErrors {
    /** Fewer requests are not evaluated. */
    static final int MIN_SAMPLES = 4;

    /** Shortest window, so that one short disturbance does not affect two windows. */
    static final long MIN_WINDOW_MILLIS = 5_000;

    /** Longest window; older samples are ignored as out of date. */
    static final long MAX_WINDOW_MILLIS = 120_000;

    /** Significance level: largest probability of so many errors for a target like its peers. */
    private static final double MAX_PROBABILITY = 1e-3;

    /** Lower bound for the peers' error share; a few errors among few requests are usual. */
    private static final double MIN_EXPECTED_SHARE = 0.01;

    private SparseErrors() {}

    /** Returns evidence if so many errors are unlikely for a target like its peers. */
    static Optional<Evidence> compare(
            String requestClass, int samples, int errors, List<ClassDigest> others) {
        double median =
                RobustStatistics.of(others.stream().mapToDouble(ClassDigest::errorShare).toArray())
                        .median();
        double share = (double) errors / samples;
        double probability =
                probabilityOfAtLeast(errors, samples, Math.max(median, expectedShare(others)));
        if (probability > MAX_PROBABILITY || share < median + OutlierDetector.MIN_ERROR_MARGIN) {
            return Optional.empty();
        }
        // Decimal orders of magnitude; 0.1% gives a window 1.5 times the usual weight.
        double significance = -Math.log10(Math.max(Double.MIN_NORMAL, probability)) - 1;
        return Optional.of(Evidence.errors(requestClass, share, median, samples, significance));
    }

    /**
     * Error share of all peers taken together. The worst peer is left out, so that a second failing
     * target does not mask this one. One failed request is added, since a small sample may have
     * none.
     */
    private static double expectedShare(List<ClassDigest> others) {
        List<ClassDigest> sorted =
                others.stream()
                        .sorted(Comparator.comparingDouble(ClassDigest::errorShare))
                        .toList();
        long samples = 1;
        long errors = 1;
        for (ClassDigest peer : sorted.subList(0, sorted.size() - 1)) {
            samples += peer.samples();
            errors += peer.errors();
        }
        return Math.max(MIN_EXPECTED_SHARE, (double) errors / samples);
    }

    /** Binomial probability of at least so many errors if each request fails with a probability. */
    static double probabilityOfAtLeast(int errors, int samples, double share) {
        if (share >= 1) {
            return 1;
        }
        double exactProbability = Math.pow(1 - share, samples);
        double probability = 0;
        for (int count = 0; count <= samples; count++) {
            probability += count >= errors ? exactProbability : 0;
            exactProbability *= (double) (samples - count) / (count + 1) * share / (1 - share);
        }
        return probability;
    }
}
