package org.azureshed.traffic;

import org.azureshed.directory.Condition;

/**
 * Receives the decisions of the traffic path, for logs and metrics. Implementations must not block.
 *
 * <p>Parameters named {@code pairs} are alternating keys and values.
 */
public interface TrafficEvents {
    /**
     * A request got its final answer, or its caller disconnected.
     *
     * @param outcome label of the outcome, for example {@code delivered} or a refusal reason
     * @param nanos time since the request arrived
     * @param pairs the inputs of the decision
     */
    void entryFinished(String outcome, long nanos, Object... pairs);

    /**
     * A request of an organisation got its final answer, or its caller disconnected. Follows {@link
     * #entryFinished}.
     *
     * @param organisation name of the organisation
     * @param outcome label of the outcome, as for {@link #entryFinished}
     */
    void organisationRequestFinished(String organisation, String outcome);

    /**
     * The host side finished with an offered request.
     *
     * @param outcome label of the outcome
     * @param nanos time since the offer arrived
     * @param pairs the inputs of the decision
     */
    void hostFinished(String outcome, long nanos, Object... pairs);

    /**
     * The host side refused an offered request at once. One request may cause many such refusals,
     * and the entry side lists them in its own line, so these lines may be dropped.
     *
     * @param outcome label of the refusal reason
     * @param nanos time since the offer arrived
     * @param pairs the inputs of the decision
     */
    void offerRefused(String outcome, long nanos, Object... pairs);

    /**
     * The condition of the local target, as the host side judges it, changed.
     *
     * @param target identifier of the target
     * @param condition the new condition
     * @param pairs the inputs of the decision
     */
    void targetConditionChanged(String target, Condition condition, Object... pairs);

    /**
     * A request, offer or answer was malformed or does not belong to the current exchange.
     *
     * @param cause name of the log event and label of the metric
     * @param pairs details for the log
     */
    void anomaly(String cause, Object... pairs);

    /**
     * Code threw an exception that no input should cause. It ends one request, message or run of a
     * periodic task.
     *
     * @param where what was interrupted, for example {@code caller_request}
     * @param error the exception
     */
    void unexpected(String where, Throwable error);

    /**
     * Wraps a task so that its exception is reported instead of thrown. A periodic task that throws
     * would not run again.
     *
     * @param where name of the task for the report
     * @param task the task
     * @return a task that never throws an exception
     */
    default Runnable guarded(String where, Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                unexpected(where, e);
            }
        };
    }
}
