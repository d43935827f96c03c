package org.azureshed.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.azureshed.directory.Condition;
import org.azureshed.model.RefusalReason;

/**
 * What this node has learnt about targets from the answers to its own offers. Conditions that last
 * for seconds are not broadcast: in a large fleet the messages would cost more than the few offers
 * that meet such a target. Not thread-safe.
 */
public final class TargetHints {
    /** A suspect target accepts a trial every 400 ms, so older news may be wrong. */
    private static final long SUSPECT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** A node that does not know its target after a start hears from it with its next heartbeat. */
    private static final long CLOSED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The mean run time, by which a target counts as slow, follows over about two seconds. */
    private static final long SLOW_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Map<String, Hint> hints = new HashMap<>();

    private record Hint(Condition condition, long untilNanos) {}

    /**
     * The condition of a node's target as far as this node knows.
     *
     * @param node name of the node
     * @param nowNanos current time
     * @return serving, slow or suspect
     */
    public Condition condition(String node, long nowNanos) {
        Hint hint = hints.get(node);
        if (hint == null) {
            return Condition.SERVING;
        }
        if (nowNanos - hint.untilNanos() >= 0) {
            hints.remove(node);
            return Condition.SERVING;
        }
        return hint.condition();
    }

    /**
     * Records that a node refused an offer.
     *
     * @param node its name
     * @param refusal why
     * @param nowNanos current time
     */
    public void refused(String node, HostRefusal refusal, long nowNanos) {
        if (refusal.suspect()) {
            hints.put(node, new Hint(Condition.SUSPECT, nowNanos + SUSPECT_NANOS));
        } else if (refusal.reason() != RefusalReason.QUEUE_FULL
                && refusal.reason() != RefusalReason.RETRY_BUDGET) {
            hints.put(node, new Hint(Condition.SUSPECT, nowNanos + CLOSED_NANOS));
        }
    }

    /**
     * Records that a node's target answered.
     *
     * @param node name of the node
     * @param slow whether its host side counts the target as slow
     * @param nowNanos current time
     */
    public void answered(String node, boolean slow, long nowNanos) {
        if (slow) {
            hints.put(node, new Hint(Condition.SLOW, nowNanos + SLOW_NANOS));
        } else {
            hints.remove(node);
        }
    }
}
