package org.azureshed.ejection;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Values of the outlier detector that were found by measurement with {@code EjectionBench}.
 *
 * @param threshold score from which a target is reported; each outlying window adds 1 to 2
 * @param halfLifeMillis time in which a score halves, in milliseconds
 * @param medianErrors standard errors by which a median has to exceed 1.5 times that of the peers
 * @param upperErrors the same for the 75th percentile, which finds flapping targets whose windows
 *     are mostly good but varies more in services with a heavy tail
 * @param strengthWeight how much each further standard error adds to a window's weight
 */
public record DetectorTuning(
        double threshold,
        long halfLifeMillis,
        double medianErrors,
        double upperErrors,
        double strengthWeight) {
    /** The values in use. */
    public static final DetectorTuning DEFAULT = new DetectorTuning(2.5, 90_000, 2, 5, 0.25);

    /** Checks the fields. */
    public DetectorTuning {
        checkArgument(threshold > 0, "threshold must be above 0");
        checkArgument(halfLifeMillis > 0, "halfLifeMillis must be above 0");
        checkArgument(
                medianErrors >= 0 && upperErrors >= 0 && strengthWeight >= 0,
                "medianErrors, upperErrors and strengthWeight must not be negative");
    }
}
