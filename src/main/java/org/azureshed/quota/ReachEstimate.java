package org.azureshed.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Estimates which part of the fleet this node reaches, from probes of nodes that are spread evenly
 * over the fleet. Other calls go to few nodes again and again and say little about the rest.
 */
final class ReachEstimate {
    private static final int MAX_PROBES = 16;
    private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** A younger probe says nothing before its answer; answers take a few milliseconds. */
    private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    private final Deque<Probe> probes = new ArrayDeque<>();
    private long lastFailureNanos;
    private boolean failureSeen;

    /** A probe of one node. */
    static final class Probe {
        private final long sentNanos;
        private boolean answered;

        private Probe(long sentNanos) {
            this.sentNanos = sentNanos;
        }

        void answered() {
            answered = true;
        }
    }

    Probe probeSent(long nowNanos) {
        Probe probe = new Probe(nowNanos);
        probes.addLast(probe);
        if (probes.size() > MAX_PROBES) {
            probes.removeFirst();
        }
        return probe;
    }

    /** Records that some call failed. Returns whether no other did for a while. */
    boolean callFailed(long nowNanos) {
        boolean first = !doubtful(nowNanos);
        if (first) {
            // Answers from before the failure would hide it.
            probes.clear();
        }
        lastFailureNanos = nowNanos;
        failureSeen = true;
        return first;
    }

    /** Whether some call failed lately, so that the estimate needs probes. */
    boolean doubtful(long nowNanos) {
        return failureSeen && nowNanos - lastFailureNanos < MAX_AGE_NANOS;
    }

    /**
     * Returns the part of the fleet that answers, less the standard deviation of the estimate; 1
     * without a recent probe. Two sides of a divided fleet must not both estimate too much.
     *
     * @param nodes size of the fleet; this node itself is always reached
     */
    double fraction(int nodes, long nowNanos) {
        while (!probes.isEmpty() && nowNanos - probes.getFirst().sentNanos > MAX_AGE_NANOS) {
            probes.removeFirst();
        }
        double answered = 0;
        double judged = 0;
        for (Probe probe : probes) {
            if (probe.answered || nowNanos - probe.sentNanos >= ANSWER_NANOS) {
                judged++;
                answered += probe.answered ? 1 : 0;
            }
        }
        if (judged == 0) {
            return 1;
        }
        double fraction = answered / judged;
        double deviation = Math.sqrt(fraction * (1 - fraction) / judged);
        return Math.max(fraction - deviation, 1.0 / Math.max(1, nodes));
    }
}
