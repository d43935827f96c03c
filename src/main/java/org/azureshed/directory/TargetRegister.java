package org.azureshed.directory;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.Endpoint;
import org.azureshed.model.TargetState;

/**
 * Latest announced state of the local target. Late heartbeats of an earlier start, and heartbeats
 * of a start that has announced its departure, are ignored. Not thread-safe.
 *
 * <p>A start departs when it reports that it is draining or deregisters. This is final: the same
 * start is not used again, neither by this process nor by a later one that adopts the {@link
 * #departures()}. Only a later start, or another id, ends it. A target is used from its first
 * heartbeat to this process on.
 */
public final class TargetRegister {
    private final Endpoint localAddress;
    private final long heartbeatTimeoutNanos;
    private Departures departures = Departures.NONE;
    private Heartbeat latest;
    private long lastHeartbeatNanos;

    /** Whether the latest target has deregistered, or left according to an earlier process. */
    private boolean hasDeparted;

    /** Effect of a heartbeat or departure. */
    public enum Change {
        /** It was ignored, since it is outdated or concerns another address. */
        OUTDATED,
        /** It was applied, and the published state stays the same. */
        NONE,
        /** The target is new, has changed or has departed. */
        CHANGED
    }

    /**
     * Creates an empty register.
     *
     * @param localAddress endpoint of the target beside this node
     * @param heartbeatTimeoutNanos time in nanoseconds without a heartbeat after which the target
     *     is gone
     */
    public TargetRegister(Endpoint localAddress, long heartbeatTimeoutNanos) {
        this.localAddress = localAddress;
        this.heartbeatTimeoutNanos = heartbeatTimeoutNanos;
    }

    /**
     * Applies a heartbeat.
     *
     * @param heartbeat the heartbeat
     * @param nowNanos current time
     * @return effect of the heartbeat
     */
    public Change apply(Heartbeat heartbeat, long nowNanos) {
        if (!heartbeat.address().equals(localAddress)
                || departures.covers(heartbeat.id(), heartbeat.startMillis())) {
            return Change.OUTDATED;
        }
        if (latest != null && !supersedes(heartbeat, latest)) {
            return Change.OUTDATED;
        }
        Optional<TargetEntry> before = current(nowNanos);
        latest = heartbeat;
        hasDeparted = false;
        lastHeartbeatNanos = nowNanos;
        if (heartbeat.state() == TargetState.DRAINING) {
            departures = departures.with(heartbeat.id(), heartbeat.startMillis());
        }
        return before.equals(current(nowNanos)) ? Change.NONE : Change.CHANGED;
    }

    /**
     * Applies the departure of a target.
     *
     * @param id identifier of the target
     * @param startMillis Unix time of the departed start in milliseconds, or 0 if not given, which
     *     means all starts until now: heartbeats of the latest one may not have arrived yet
     * @param nowMillis current Unix time in milliseconds
     * @return effect of the departure
     */
    public Change depart(String id, long startMillis, long nowMillis) {
        boolean isCurrentTarget = latest != null && latest.id().equals(id);
        if (isCurrentTarget && startMillis != 0 && startMillis < latest.startMillis()) {
            return Change.OUTDATED;
        }
        departures =
                departures.with(id, departedStartMillis(isCurrentTarget, startMillis, nowMillis));
        if (!isCurrentTarget || hasDeparted) {
            return Change.NONE;
        }
        hasDeparted = true;
        return Change.CHANGED;
    }

    private long departedStartMillis(boolean isCurrent, long startMillis, long nowMillis) {
        long last = startMillis == 0 ? nowMillis : startMillis;
        return isCurrent ? Math.max(last, latest.startMillis()) : last;
    }

    /**
     * Takes over departures that an earlier process of this node has acknowledged.
     *
     * @param earlier the departures
     * @return true if the current target turns out to have departed
     */
    public boolean adopt(Departures earlier) {
        departures = departures.union(earlier);
        if (latest == null
                || hasDeparted
                || latest.state() == TargetState.DRAINING
                || !departures.covers(latest.id(), latest.startMillis())) {
            return false;
        }
        hasDeparted = true;
        return true;
    }

    /**
     * Learns from the target that an earlier process of this node published. A leaving target has
     * departed. That one was usable tells nothing: it may have departed since, and this process may
     * never hear of that. Only a heartbeat shows that a target is there.
     *
     * @param published the published target
     */
    public void learn(TargetEntry published) {
        if (published.condition() == Condition.LEAVING) {
            departures = departures.with(published.id(), published.startMillis());
        }
    }

    /**
     * The target beside this node.
     *
     * @param nowNanos current time
     * @return the target's entry, or empty if no target has announced itself
     */
    public Optional<TargetEntry> current(long nowNanos) {
        if (latest == null) {
            return Optional.empty();
        }
        return Optional.of(
                new TargetEntry(
                        latest.id(),
                        latest.startMillis(),
                        latest.service(),
                        latest.slots(),
                        condition(nowNanos)));
    }

    /**
     * The departures to remember beyond this process.
     *
     * @return acknowledged departures, including those of earlier processes
     */
    public Departures departures() {
        return departures;
    }

    private Condition condition(long nowNanos) {
        long sinceHeartbeatNanos = nowNanos - lastHeartbeatNanos;
        if (hasDeparted || sinceHeartbeatNanos > heartbeatTimeoutNanos) {
            return Condition.GONE;
        }
        if (latest.state() != TargetState.READY) {
            return Condition.LEAVING;
        }
        return sinceHeartbeatNanos < TimeUnit.MILLISECONDS.toNanos(latest.warmupLeftMillis())
                ? Condition.WARMING
                : Condition.SERVING;
    }

    private static boolean supersedes(Heartbeat heartbeat, Heartbeat known) {
        if (heartbeat.startMillis() != known.startMillis()) {
            return heartbeat.startMillis() > known.startMillis();
        }
        return !heartbeat.id().equals(known.id()) || heartbeat.sequence() > known.sequence();
    }
}
