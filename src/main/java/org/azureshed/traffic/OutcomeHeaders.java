package org.azureshed.traffic;

/** Response headers in which the host side reports the outcome of an offer to the entry side. */
final class OutcomeHeaders {
    /** Outcome: {@link #COMPLETED}, {@link #NOT_RUN}, {@link #SHED} or {@link #UNKNOWN}. */
    static final String OUTCOME = "Azureshed-Outcome";

    /** The target answered; the response is its answer. */
    static final String COMPLETED = "completed";

    /** The request did not run and never will. */
    static final String NOT_RUN = "not-run";

    /** The target received the request and stated that it did not run it. */
    static final String SHED = "shed";

    /** The request may have run. */
    static final String UNKNOWN = "unknown";

    /** Label of the refusal reason, or a cause for the log. */
    static final String REASON = "Azureshed-Reason";

    /** Estimated milliseconds until a slot is free. */
    static final String WAIT = "Azureshed-Wait-Ms";

    /** Present on a refusal if the target is suspect because it fails many requests. */
    static final String SUSPECT = "Azureshed-Suspect";

    /** Present on an answer if the target takes a multiple of its usual run time. */
    static final String SLOW = "Azureshed-Slow";

    private OutcomeHeaders() {}
}
