package org.azureshed.dispatch;

import org.azureshed.model.RefusalReason;

/** What happened to a request at the entry side. Times are on the node's monotonic clock. */
public sealed interface ExchangeEvent {
    /** The request was read. */
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
     * @param refusal why
     */
    record Refused(int attempt, HostRefusal refusal) implements ExchangeEvent {}

    /**
     * The host side did not respond before the request was sent, so that it did not run.
     *
     * @param attempt number of the attempt
     */
    record PathFailed(int attempt) implements ExchangeEvent {}

    /**
     * The target itself stated that it did not run the request.
     *
     * @param attempt number of the attempt
     * @param reason why
     */
    record Shed(int attempt, RefusalReason reason) implements ExchangeEvent {}

    /**
     * The attempt ended without a whole answer, and the request may have run.
     *
     * @param attempt number of the attempt
     */
    record Lost(int attempt) implements ExchangeEvent {}

    /**
     * The target answered.
     *
     * @param attempt number of the attempt
     * @param status its HTTP status
     */
    record Answered(int attempt, int status) implements ExchangeEvent {}

    /** The node ends now; the caller must get an answer before. */
    record Stopped() implements ExchangeEvent {}

    /** The time of the last {@link ExchangeEffect.WakeAt} has come. */
    record Woke() implements ExchangeEvent {}
}
