package org.azureshed.dispatch;

import org.azureshed.model.RefusalReason;

/** An event of a request at the entry side. Times are on the node's monotonic clock. */
public sealed interface ExchangeEvent {
    /** The request has been read and can be offered. */
    record Started() implements ExchangeEvent {}

    /**
     * The host side reserved a slot and the request is being sent to the target.
     *
     * @param attempt number of the attempt
     */
    record Admitted(int attempt) implements ExchangeEvent {}

    /**
     * The host side refused the request.
     *
     * @param attempt number of the attempt
     * @param refusal reason and state of the target
     */
    record Refused(int attempt, HostRefusal refusal) implements ExchangeEvent {}

    /**
     * The host side did not respond before the request was sent, so the request did not run.
     *
     * @param attempt number of the attempt
     */
    record PathFailed(int attempt) implements ExchangeEvent {}

    /**
     * The target itself stated that it did not run the request.
     *
     * @param attempt number of the attempt
     * @param reason reason of the refusal
     */
    record Shed(int attempt, RefusalReason reason) implements ExchangeEvent {}

    /**
     * The attempt ended without a complete answer, and the request may have run.
     *
     * @param attempt number of the attempt
     */
    record OutcomeUnknown(int attempt) implements ExchangeEvent {}

    /**
     * The target answered.
     *
     * @param attempt number of the attempt
     * @param status HTTP status of the answer
     */
    record Answered(int attempt, int status) implements ExchangeEvent {}

    /**
     * The node stops: no target may receive the request any more, unless one already has. See
     * {@link StopSchedule}.
     */
    record StartsEnded() implements ExchangeEvent {}

    /** The node is about to exit, so the caller must be answered now. */
    record Stopped() implements ExchangeEvent {}

    /** The timer set by the last {@link ExchangeEffect.SetTimer} fired. */
    record TimerFired() implements ExchangeEvent {}
}
