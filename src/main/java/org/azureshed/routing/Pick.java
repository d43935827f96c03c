package org.azureshed.routing;

import org.azureshed.admission.LoadReport;

/**
 * One attempt's choice of a target. Thread-safe.
 *
 * <p>It counts as an outstanding request of the target until {@link #finish}.
 */
public final class Pick {
    private final TargetPicker picker;
    private final Candidate candidate;
    private final TargetLoad load;
    // Guarded by the lock of the picker.
    private boolean finished;

    Pick(TargetPicker picker, Candidate candidate, TargetLoad load) {
        this.picker = picker;
        this.candidate = candidate;
        this.load = load;
    }

    /**
     * The chosen target.
     *
     * @return the target and the node that hosts it
     */
    public Candidate candidate() {
        return candidate;
    }

    /**
     * Updates the target's load from an answer. Called as soon as the headers have arrived.
     *
     * @param report load report in the answer's headers
     * @param nowNanos current time
     */
    public void report(LoadReport report, long nowNanos) {
        picker.report(load, report, nowNanos);
    }

    /** Ends the request. Only the first call has an effect. */
    public void finish() {
        picker.finish(this);
    }

    TargetLoad load() {
        return load;
    }

    boolean markFinished() {
        boolean first = !finished;
        finished = true;
        return first;
    }
}
