package org.azureshed.ejection;

/**
 * Progress of one hosted target within its readmission stage.
 *
 * @param stage the present stage
 * @param enteredMillis when this node learned of the stage
 * @param lastProbeMillis when the target was last probed; 0 if never in this stage
 * @param goodProbes consecutive successful probes
 */
record Readmission(Stage stage, long enteredMillis, long lastProbeMillis, int goodProbes) {
    /** Consecutive successful probes after which the readmission starts. */
    static final int REQUIRED_PROBES = 3;

    /**
     * Time from an ejection to the first probe; doubled with each relapse. It is the longest window
     * of a digest, so that no sample from before the ejection is evaluated.
     */
    private static final long FIRST_WAIT_MILLIS = 30_000;

    private static final int MAX_DOUBLINGS = 5;

    static Readmission entered(Stage stage, long nowMillis) {
        return new Readmission(stage, nowMillis, 0, 0);
    }

    boolean mayProbe(int relapses, long nowMillis) {
        long wait = FIRST_WAIT_MILLIS << Math.min(relapses, MAX_DOUBLINGS);
        return stage == Stage.EJECTED
                && goodProbes < REQUIRED_PROBES
                && nowMillis - enteredMillis >= wait;
    }

    Readmission withProbeAt(long nowMillis) {
        return new Readmission(stage, enteredMillis, nowMillis, goodProbes);
    }

    Readmission withProbeResult(boolean good) {
        return new Readmission(stage, enteredMillis, lastProbeMillis, good ? goodProbes + 1 : 0);
    }
}
