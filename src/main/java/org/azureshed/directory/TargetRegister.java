package org.azureshed.directory;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.TargetState;

/**
 * What the local target last said about itself. Late heartbeats of an earlier start, and of a start
 * that has said it leaves for good, change nothing. Not thread-safe.
 */
public final class TargetRegister {
    /** Bounds the memory for targets that left; a late heartbeat arrives within seconds. */
    private static final int MAX_DEPARTED = 64;

    private final String localAddress;
    private final long silenceNanos;
    private final Map<String, Long> departed =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_DEPARTED;
                }
            };
    private Heartbeat latest;
    private boolean left;
    private long heardNanos;

    /** What a heartbeat or departure changed. */
    public enum Change {
        /** It is older than what is known. */
        OUTDATED,
        /** It confirms what is known. */
        NONE,
        /** The target is new, changed its state or left. */
        CHANGED
    }

    /**
     * Creates an empty register.
     *
     * @param localAddress IP address and port of the target beside this node
     * @param silenceNanos time without a heartbeat after which the target counts as gone
     */
    public TargetRegister(String localAddress, long silenceNanos) {
        this.localAddress = localAddress;
        this.silenceNanos = silenceNanos;
    }

    /**
     * Applies a heartbeat.
     *
     * @param heartbeat the heartbeat
     * @param nowNanos current time
     * @return what it changed
     */
    public Change apply(Heartbeat heartbeat, long nowNanos) {
        if (!heartbeat.address().equals(localAddress) || isDeparted(heartbeat)) {
            return Change.OUTDATED;
        }
        if (latest != null && !follows(heartbeat, latest)) {
            return Change.OUTDATED;
        }
        Optional<TargetEntry> before = current(nowNanos);
        latest = heartbeat;
        left = false;
        heardNanos = nowNanos;
        return before.equals(current(nowNanos)) ? Change.NONE : Change.CHANGED;
    }

    /**
     * Applies the departure of a target.
     *
     * @param id identifier of the target
     * @param bornMillis its start, or 0 if the departure does not tell
     * @return what it changed
     */
    public Change depart(String id, long bornMillis) {
        boolean current = latest != null && latest.id().equals(id);
        if (current && bornMillis != 0 && bornMillis < latest.bornMillis()) {
            return Change.OUTDATED;
        }
        long born = current ? Math.max(bornMillis, latest.bornMillis()) : bornMillis;
        departed.merge(id, born, Math::max);
        if (!current || left) {
            return Change.NONE;
        }
        left = true;
        return Change.CHANGED;
    }

    /**
     * Takes over what this node had published before it restarted. A target that had left stays
     * departed; a serving one is served again before its next heartbeat.
     *
     * @param entry the published target
     * @param nowNanos current time
     * @return true if it is now the known target
     */
    public boolean restore(TargetEntry entry, long nowNanos) {
        if (!entry.condition().usable()) {
            departed.merge(entry.id(), entry.bornMillis(), Math::max);
            return false;
        }
        if (latest != null) {
            return false;
        }
        latest =
                new Heartbeat(
                        entry.id(),
                        entry.bornMillis(),
                        Long.MIN_VALUE,
                        localAddress,
                        entry.service(),
                        entry.slots(),
                        TargetState.READY,
                        0);
        heardNanos = nowNanos;
        return true;
    }

    /**
     * The target beside this node.
     *
     * @param nowNanos current time
     * @return its entry, or empty if no target announced itself
     */
    public Optional<TargetEntry> current(long nowNanos) {
        if (latest == null) {
            return Optional.empty();
        }
        return Optional.of(
                new TargetEntry(
                        latest.id(),
                        latest.bornMillis(),
                        latest.service(),
                        latest.slots(),
                        condition(nowNanos)));
    }

    private Condition condition(long nowNanos) {
        long silence = nowNanos - heardNanos;
        if (left || silence > silenceNanos) {
            return Condition.GONE;
        }
        if (latest.state() != TargetState.READY) {
            return Condition.LEAVING;
        }
        return silence < TimeUnit.MILLISECONDS.toNanos(latest.warmupLeftMillis())
                ? Condition.WARMING
                : Condition.SERVING;
    }

    private boolean isDeparted(Heartbeat heartbeat) {
        Long born = departed.get(heartbeat.id());
        return born != null && heartbeat.bornMillis() <= born;
    }

    private static boolean follows(Heartbeat heartbeat, Heartbeat known) {
        if (heartbeat.bornMillis() != known.bornMillis()) {
            return heartbeat.bornMillis() > known.bornMillis();
        }
        return !heartbeat.id().equals(known.id()) || heartbeat.sequence() > known.sequence();
    }
}
