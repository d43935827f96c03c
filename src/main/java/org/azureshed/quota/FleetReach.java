package org.azureshed.quota;

import java.util.List;
import java.util.function.LongConsumer;

/** The part of the fleet that this node reaches, and the part of a limit that it may grant. */
final class FleetReach {
    static final double HALF = 0.5;

    /** Distance of nodes that are probed one after the other; spreads probes over the zones. */
    private static final int PROBE_STRIDE = 37;

    /** Probes at the first failure of a call, when the estimate is needed at once. */
    static final int PROBES_AT_FAILURE = 8;

    static final long PROBE_TIMEOUT_MILLIS = 400;

    private final String ownName;
    private final QuotaPeers peers;
    private final double overRatio;
    private final ReachEstimate estimate = new ReachEstimate();
    private int nextProbe;

    FleetReach(String ownName, QuotaPeers peers, double overRatio) {
        this.ownName = ownName;
        this.peers = peers;
        this.overRatio = overRatio;
        // Nodes that start together must not probe the same node at the same time.
        this.nextProbe = ownName.hashCode();
    }

    /** Records that a call failed; the first failure after a while is followed by probes. */
    void callFailed(long nowNanos) {
        if (estimate.callFailed(nowNanos)) {
            probe(PROBES_AT_FAILURE, PROBE_TIMEOUT_MILLIS, nowNanos, now -> {});
        }
    }

    /** Whether some call failed lately. */
    boolean doubtful(long nowNanos) {
        return estimate.doubtful(nowNanos);
    }

    /**
     * Probes some nodes.
     *
     * @param ended receives the time of each answer or timeout
     */
    void probe(int count, long timeoutMillis, long nowNanos, LongConsumer ended) {
        List<String> names = peers.names();
        for (int i = 0; i < count; i++) {
            nextProbe += PROBE_STRIDE;
            String node = names.isEmpty() ? ownName : nextOf(names);
            ReachEstimate.Probe probe = estimate.probeSent(nowNanos);
            if (node.equals(ownName)) {
                probe.answered();
                ended.accept(nowNanos);
                continue;
            }
            peers.call(
                    node,
                    new QuotaMessage.Ping(),
                    timeoutMillis,
                    (answer, now) -> {
                        if (answer.isPresent()) {
                            probe.answered();
                        } else {
                            callFailed(now);
                        }
                        ended.accept(now);
                    });
        }
    }

    private String nextOf(List<String> names) {
        return names.get(Math.floorMod(nextProbe, names.size()));
    }

    /** Returns the part of a limit that this node may grant, above 0 and up to 1. */
    double share(long nowNanos) {
        double fraction = estimate.fraction(peers.names().size(), nowNanos);
        // Nodes that are gone for good make the fraction too low; the tolerated excess pays for
        // that on one side of a divided fleet.
        double tolerance = fraction > HALF ? overRatio / 2 : 0;
        return Math.min(1, fraction + tolerance);
    }
}
