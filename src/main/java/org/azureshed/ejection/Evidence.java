package org.azureshed.ejection;

/**
 * Reason for the ejection of a target.
 *
 * @param kind the measured quantity
 * @param requestClass class of the requests; empty for crashes
 * @param value the target's value: a service time in microseconds, error share in 0 to 1, or number
 *     of crashes
 * @param peers median of the value over its peers
 * @param samples number of requests that the value is computed from, or of crashes
 * @param severity ranks targets; the larger, the worse
 * @param significance number of standard errors by which the value exceeds the bound; for errors
 *     among few samples, the decimal orders of magnitude by which their probability is below 10%
 */
public record Evidence(
        Kind kind,
        String requestClass,
        double value,
        double peers,
        int samples,
        double severity,
        double significance) {
    /** The measured quantity. */
    public enum Kind {
        /** The median or 75th percentile of the service time. */
        SLOW,
        /** The share of failed requests. */
        ERRORS,
        /** Crashes that are not explained by a common request. */
        CRASH_LOOP
    }

    /** A target that fails all requests is about as severe as one that is ten times slower. */
    private static final double ERROR_SEVERITY = 10;

    /** A target in a crash loop serves nothing, so it is readmitted last. */
    private static final double CRASH_SEVERITY = 1_000;

    static Evidence slow(
            String requestClass, double micros, double peers, int samples, double significance) {
        double ratio = peers > 0 ? micros / peers : 1;
        return new Evidence(Kind.SLOW, requestClass, micros, peers, samples, ratio, significance);
    }

    static Evidence errors(
            String requestClass, double share, double peers, int samples, double significance) {
        double severity = 1 + ERROR_SEVERITY * (share - peers);
        return new Evidence(
                Kind.ERRORS, requestClass, share, peers, samples, severity, significance);
    }

    static Evidence crashLoop(int crashes) {
        return new Evidence(
                Kind.CRASH_LOOP, "", crashes, 0, crashes, CRASH_SEVERITY, CRASH_SEVERITY);
    }
}
