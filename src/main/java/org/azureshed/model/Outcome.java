package org.azureshed.model;

/** Outcome of one attempt to run a request. */
public sealed interface Outcome {
    /**
     * The target answered.
     *
     * @param status HTTP status of the answer
     */
    record Completed(int status) implements Outcome {}

    /**
     * The request did not run: no byte of it can have reached the target's application, or the
     * target stated that it shed the request.
     *
     * @param reason reason of the refusal
     */
    record NotRun(RefusalReason reason) implements Outcome {}

    /**
     * The request may or may not have run.
     *
     * @param cause why the outcome is unknown
     */
    record Unknown(UnknownCause cause) implements Outcome {}
}
