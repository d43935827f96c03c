package org.azureshed.directory;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.Endpoint;
import org.azureshed.model.TargetState;

/**
 * Latest announced state of the local target. Late heartbeats of an earlier start, and heartbeats
 * of a start that has announced its departure, are ignored. Not thread-safe.
 */
public final class TargetRegister {
    /** Departed targets that are kept; a late heartbeat arrives within seconds. */
    private static final int MAX_DEPARTED = 64;

    private final Endpoint localAddress;
    private final long heartbeatTimeoutNanos;
    private final Map<String, Long> departedStarts =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_DEPARTED;
                }
            };
    private Heartbeat latest;
    private boolean hasDeparted;
    private long lastHeartbeatNanos;

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
        if (!heartbeat.address().equals(localAddress) || isDeparted(heartbeat)) {
            return Change.OUTDATED;
        }
        if (latest != null && !supersedes(heartbeat, latest)) {
            return Change.OUTDATED;
        }
        Optional<TargetEntry> before = current(nowNanos);
        latest = heartbeat;
        hasDeparted = false;
        lastHeartbeatNanos = nowNanos;
        return before.equals(current(nowNanos)) ? Change.NONE : Change.CHANGED;
    }

    /**
     * Applies the departure of a target.
     *
     * @param id identifier of the target
     * @param startMillis Unix time of the departed start in milliseconds, or 0 if not given, which
     *     means the latest known start
     * @return effect of the departure
     */
    public Change depart(String id, long startMillis) {
        boolean isCurrentTarget = latest != null && latest.id().equals(id);
        if (isCurrentTarget && startMillis != 0 && startMillis < latest.startMillis()) {
            return Change.OUTDATED;
        }
        long departedStartMillis =
                isCurrentTarget ? Math.max(startMillis, latest.startMillis()) : startMillis;
        departedStarts.merge(id, departedStartMillis, Math::max);
        if (!isCurrentTarget || hasDeparted) {
            return Change.NONE;
        }
        hasDeparted = true;
        return Change.CHANGED;
    }

    /**
     * Restores the target that this node published before it restarted. A departed target stays
     * departed; a usable one receives requests again before its next heartbeat.
     *
     * @param entry the published target
     * @param nowNanos current time
     * @return true if the entry is now the current target
     */
    public boolean restore(TargetEntry entry, long nowNanos) {
        if (!entry.condition().usable()) {
            departedStarts.merge(entry.id(), entry.startMillis(), Math::max);
            return false;
        }
        if (latest != null) {
            return false;
        }
        latest =
                new Heartbeat(
                        entry.id(),
                        entry.startMillis(),
                        Long.MIN_VALUE,
                        localAddress,
                        entry.service(),
                        entry.slots(),
                        TargetState.READY,
                        0);
        lastHeartbeatNanos = nowNanos;
        return true;
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

    private boolean isDeparted(Heartbeat heartbeat) {
        Long departedStartMillis = departedStarts.get(heartbeat.id());
        return departedStartMillis != null && heartbeat.startMillis() <= departedStartMillis;
    }

    private static boolean supersedes(Heartbeat heartbeat, Heartbeat known) {
        if (heartbeat.startMillis() != known.startMillis()) {
            return heartbeat.startMillis() > known.startMillis();
        }
        return !heartbeat.id().equals(known.id()) || heartbeat.sequence() > known.sequence();
    }
}
