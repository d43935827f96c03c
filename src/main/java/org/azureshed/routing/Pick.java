package org.azureshed.routing;

import org.azureshed.admission.LoadReport;

/**
 * A chosen target, from the choice until the request has ended. Thread-safe.
 *
 * <p>The choice counts as outstanding work until {@link #finish}.
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
     * @return target and node
     */
    public Candidate candidate() {
        return candidate;
    }

    /**
     * Takes in the load report of an answer, as soon as its headers have arrived.
     *
     * @param report the report
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
