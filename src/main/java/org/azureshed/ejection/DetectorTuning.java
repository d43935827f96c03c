package org.azureshed.ejection;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Parameters of the outlier detector. {@code EjectionBench} measures detection time and false
 * ejections for a set of them.
 *
 * @param threshold score from which a target is reported; each outlier window adds 1 to 2
 * @param halfLifeMillis time in which a score halves, in milliseconds
 * @param medianStandardErrors number of standard errors by which a target's median has to exceed
 *     1.5 times the median of its peers
 * @param p75StandardErrors the same for the 75th percentile. It finds flapping targets, most of
 *     whose windows are good, but varies more in services with a heavy-tailed distribution
 * @param strengthWeight weight that each further standard error adds to an outlier window
 */
public record DetectorTuning(
        double threshold,
        long halfLifeMillis,
        double medianStandardErrors,
        double p75StandardErrors,
        double strengthWeight) {
    /** The parameters used in production. */
    public static final DetectorTuning DEFAULT = new DetectorTuning(2.5, 90_000, 2, 5, 0.25);

    /** Rejects values out of range. */
    public DetectorTuning {
        checkArgument(threshold > 0, "threshold must be above 0");
        checkArgument(halfLifeMillis > 0, "halfLifeMillis must be above 0");
        checkArgument(
                medianStandardErrors >= 0 && p75StandardErrors >= 0 && strengthWeight >= 0,
                "medianStandardErrors, p75StandardErrors and strengthWeight must not be negative");
    }
}
