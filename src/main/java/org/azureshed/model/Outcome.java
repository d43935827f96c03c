package org.azureshed.model;

/** What became of one attempt to run a request. */
public sealed interface Outcome {
    /**
     * The target answered.
     *
     * @param status HTTP status of the answer
     */
    record Completed(int status) implements Outcome {}

    /**
     * No byte of the request can have reached the target's application, or the target said that it
     * shed the request.
     *
     * @param reason why it was refused
     */
    record NotRun(RefusalReason reason) implements Outcome {}

    /**
     * The request may or may not have run.
     *
     * @param cause what was seen
     */
    record Unknown(UnknownCause cause) implements Outcome {}
}
