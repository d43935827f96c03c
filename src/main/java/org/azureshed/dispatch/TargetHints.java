package org.azureshed.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.azureshed.directory.Condition;
import org.azureshed.model.RefusalReason;

/**
 * Conditions of targets that this node observed in the answers to its own offers. Conditions that
 * last only seconds are not broadcast: in a large fleet the messages would cost more than the few
 * offers that reach such a target. Not thread-safe.
 */
public final class TargetHints {
    /** A suspect target accepts a trial every 400 ms, so an older observation may be outdated. */
    private static final long SUSPECT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /**
     * Validity of other refusals. A node that has just started knows its target after the target's
     * next heartbeat.
     */
    private static final long REFUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The mean run time that decides whether a target is slow adapts within about two seconds. */
    private static final long SLOW_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Map<String, Hint> hints = new HashMap<>();

    private record Hint(Condition condition, long untilNanos) {}

    /**
     * The condition last observed for a node's target.
     *
     * @param node name of the node
     * @param nowNanos current time
     * @return serving, slow or suspect; serving if nothing was observed recently
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
     * @param node name of the node
     * @param refusal the refusal
     * @param nowNanos current time
     */
    public void refused(String node, HostRefusal refusal, long nowNanos) {
        if (refusal.suspect()) {
            hints.put(node, new Hint(Condition.SUSPECT, nowNanos + SUSPECT_NANOS));
        } else if (refusal.reason() != RefusalReason.QUEUE_FULL
                && refusal.reason() != RefusalReason.RETRY_BUDGET) {
            hints.put(node, new Hint(Condition.SUSPECT, nowNanos + REFUSED_NANOS));
        }
    }

    /**
     * Records that a node's target answered.
     *
     * @param node name of the node
     * @param slow whether the host side reports the target as slow
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
