package org.azureshed.traffic;

import org.azureshed.directory.Condition;

/**
 * Hears what the traffic path decided, for logs and metrics. Calls must not block.
 *
 * <p>Pairs are alternating keys and values.
 */
public interface TrafficEvents {
    /**
     * A request got its final answer, or its caller left.
     *
     * @param outcome label of the outcome, for example {@code delivered} or a refusal reason
     * @param nanos time since the request arrived
     * @param pairs the inputs of the decision
     */
    void entryFinished(String outcome, long nanos, Object... pairs);

    /**
     * The host side finished with an offered request.
     *
     * @param outcome label of the outcome
     * @param nanos time since the offer arrived
     * @param pairs the inputs of the decision
     */
    void hostFinished(String outcome, long nanos, Object... pairs);

    /**
     * The host side refused an offered request at once. There may be many such offers of one
     * request, which the entry side lists, so that not each needs a line.
     *
     * @param outcome label of the refusal reason
     * @param nanos time since the offer arrived
     * @param pairs the inputs of the decision
     */
    void offerRefused(String outcome, long nanos, Object... pairs);

    /**
     * The host side changed its judgement of the local target.
     *
     * @param target identifier of the target
     * @param condition the new judgement
     * @param pairs the inputs of the decision
     */
    void targetJudged(String target, Condition condition, Object... pairs);

    /**
     * A request is sent again or offered elsewhere.
     *
     * @param cause label of the cause
     * @param pairs the inputs of the decision
     */
    void attemptEnded(String cause, Object... pairs);
}
