package org.azureshed.watch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * The watch of one node for changes of the configuration.
 *
 * <p>The answer to a watch may be lost while its connection stays open, and all nodes wait for the
 * same answer. So a watch that is silent beyond its wait is followed by a listing on a new
 * connection, and the nodes take turns: their watches end one after the other, so that some node
 * asks the store anew every few hundred milliseconds, however large the fleet is. What it finds
 * spreads from node to node: each one tells some others of a version that is new to it, and asks
 * the store if that has not told it of one that the others know.
 *
 * <pre>{@code
 * for (WatchEffect effect : watch.handle(new WatchEvent.Started(), position, nowNanos)) { ... }
 * }</pre>
 */
public final class StoreWatch {
    /**
     * Keeps the listings of a fleet that notices a new era at the same moment below 200 a second.
     */
    private static final long ERA_SPREAD_PER_NODE_MILLIS = 5;

    private final WatchTiming timing;
    private final DoubleSupplier randomFraction;
    private final List<WatchEffect> effects = new ArrayList<>();

    private Phase phase = Phase.LISTING;
    private long lastCall;
    private long revision;
    private long timerNanos;

    /** When the turns of the nodes began: when this one heard of {@link #knownVersion}. */
    private long turnsFromNanos;

    private long backoffMillis;

    /** Version of the active configuration; 0 if there is none. */
    private long activeVersion;

    /** The newest version that this node has heard of; it may not have its content. */
    private long knownVersion;

    /** The last call that began before another node named {@link #knownVersion}. */
    private long claimedCall;

    /** The last version that others named and the store did not have; 0 if there is none. */
    private long refutedVersion;

    private enum Phase {
        /** A listing is under way. */
        LISTING,
        /** A watch is under way. */
        WATCHING,
        /** Waits before the next listing. */
        BEFORE_LISTING,
        /** Waits before the next watch. */
        BEFORE_WATCH
    }

    /**
     * Creates a watch that has not started.
     *
     * @param timing time limits
     * @param randomFraction returns random numbers from 0 to 1, which spread the calls of nodes
     *     that fail together
     */
    public StoreWatch(WatchTiming timing, DoubleSupplier randomFraction) {
        this.timing = timing;
        this.randomFraction = randomFraction;
    }

    /**
     * Handles an event.
     *
     * @param event what happened
     * @param position place of this node in the fleet
     * @param nowNanos the current time on a monotonic clock
     * @return effects in the order in which they are to be carried out
     */
    public List<WatchEffect> handle(WatchEvent event, FleetPosition position, long nowNanos) {
        effects.clear();
        switch (event) {
            case WatchEvent.Started ignored -> list(nowNanos);
            case WatchEvent.Listed listed -> listed(listed, position, nowNanos);
            case WatchEvent.Watched watched -> watched(watched, position, nowNanos);
            case WatchEvent.HistoryGone gone -> failed(gone.call(), position, nowNanos);
            case WatchEvent.Failed failed -> failed(failed.call(), position, nowNanos);
            case WatchEvent.KnownElsewhere known -> {
                if (known.version() <= knownVersion || known.version() == refutedVersion) {
                    break;
                }
                claimedCall = lastCall;
                noteVersion(known.version(), nowNanos);
                if (behind() && (phase == Phase.WATCHING || phase == Phase.BEFORE_LISTING)) {
                    endWaitSoon(nowNanos);
                }
            }
            case WatchEvent.LearnedElsewhere learned -> {
                noteVersion(learned.version(), nowNanos);
                activeVersion = Math.max(activeVersion, learned.version());
                if (phase == Phase.WATCHING) {
                    endWaitSoon(nowNanos);
                }
            }
            case WatchEvent.EraChanged changed -> eraChanged(changed, position, nowNanos);
            case WatchEvent.TimerFired ignored -> timerFired(position, nowNanos);
        }
        return List.copyOf(effects);
    }

    private void listed(WatchEvent.Listed listed, FleetPosition position, long nowNanos) {
        if (phase == Phase.WATCHING || phase == Phase.BEFORE_WATCH) {
            // A late answer; a later call has been answered.
            return;
        }
        boolean first = revision == 0;
        noteAnswer(listed.revision(), listed.version(), nowNanos);
        if (behind() && listed.call() > claimedCall) {
            // The store was asked after the claim, and has nothing newer that this node can use.
            refutedVersion = knownVersion;
            knownVersion = activeVersion;
        }
        if (first) {
            phase = Phase.BEFORE_WATCH;
            setTimer(nowNanos + nanos(timing.startPauseMillis()));
        } else {
            watch(position, nowNanos);
        }
    }

    private void watched(WatchEvent.Watched watched, FleetPosition position, long nowNanos) {
        if (phase != Phase.WATCHING || watched.call() != lastCall) {
            return;
        }
        noteAnswer(watched.revision(), watched.version(), nowNanos);
        if (watched.changed()) {
            phase = Phase.BEFORE_WATCH;
            setTimer(nowNanos + nanos(timing.pauseMillis()));
        } else {
            watch(position, nowNanos);
        }
    }

    private void noteAnswer(long answeredRevision, long version, long nowNanos) {
        revision = Math.max(revision, answeredRevision);
        backoffMillis = 0;
        activeVersion = Math.max(activeVersion, version);
        noteVersion(version, nowNanos);
    }

    /** Passes a version that is new to this node on to other nodes. */
    private void noteVersion(long version, long nowNanos) {
        if (version > knownVersion) {
            knownVersion = version;
            turnsFromNanos = nowNanos;
            effects.add(new WatchEffect.TellNodes(version));
        }
    }

    private boolean behind() {
        return knownVersion > activeVersion;
    }

    /**
     * Lists anew, as the watch of a revision of an earlier era tells nothing. A version that the
     * store did not have may be written again.
     */
    private void eraChanged(WatchEvent.EraChanged changed, FleetPosition position, long nowNanos) {
        revision = 0;
        refutedVersion = 0;
        if (phase == Phase.LISTING) {
            // Its answer is of the new era, or it is given up soon.
            return;
        }
        phase = Phase.BEFORE_LISTING;
        long spreadMillis =
                Math.min(position.nodes() * ERA_SPREAD_PER_NODE_MILLIS, timing.maxBackoffMillis());
        setTimer(nowNanos + nanos((long) (changed.spreadFraction() * spreadMillis)));
    }

    private void failed(long call, FleetPosition position, long nowNanos) {
        boolean underWay = phase == Phase.LISTING || phase == Phase.WATCHING;
        if (underWay && call == lastCall) {
            retryLater(position, nowNanos);
        }
    }

    /** Gives the store a last moment to tell what another node knows already. */
    private void endWaitSoon(long nowNanos) {
        long patienceEndNanos = nowNanos + nanos(timing.patienceMillis());
        if (patienceEndNanos - timerNanos < 0) {
            setTimer(patienceEndNanos);
        }
    }

    private void timerFired(FleetPosition position, long nowNanos) {
        if (nowNanos - timerNanos < 0) {
            setTimer(timerNanos);
            return;
        }
        switch (phase) {
            case LISTING -> {
                effects.add(new WatchEffect.DropIdleConnections());
                retryLater(position, nowNanos);
            }
            case WATCHING -> {
                effects.add(new WatchEffect.DropIdleConnections());
                list(nowNanos);
            }
            case BEFORE_LISTING -> list(nowNanos);
            case BEFORE_WATCH -> watch(position, nowNanos);
            default -> throw new AssertionError(phase);
        }
    }

    private void list(long nowNanos) {
        phase = Phase.LISTING;
        lastCall++;
        effects.add(new WatchEffect.ListNow(lastCall));
        setTimer(nowNanos + nanos(timing.answerMillis()));
    }

    private void watch(FleetPosition position, long nowNanos) {
        phase = Phase.WATCHING;
        long waitMillis = untilTurnMillis(position, nowNanos);
        lastCall++;
        effects.add(new WatchEffect.WatchNow(lastCall, revision, waitMillis));
        // A change that another node knows of is there to be told at once.
        long limitMillis = behind() ? timing.patienceMillis() : waitMillis + timing.answerMillis();
        setTimer(nowNanos + nanos(limitMillis));
    }

    private void retryLater(FleetPosition position, long nowNanos) {
        // Of the nodes that may have the newest version, the first that is answered tells the rest.
        int sharing = behind() || activeVersion == 0 ? 1 : position.nodes();
        long limit =
                Math.clamp(
                        sharing * timing.backoffPerNodeMillis(),
                        timing.minBackoffMillis(),
                        timing.maxBackoffMillis());
        backoffMillis = Math.min(limit, Math.max(timing.minBackoffMillis(), backoffMillis * 2));
        phase = Phase.BEFORE_LISTING;
        double jitter = 0.5 + randomFraction.getAsDouble();
        setTimer(nowNanos + nanos((long) (backoffMillis * jitter)));
    }

    /**
     * Returns the time until the next turn of this node. The turns are counted from the moment at
     * which the nodes heard of the newest version, which is about the same for all, so that they
     * stay apart also after calls that were lost or failed.
     */
    private long untilTurnMillis(FleetPosition position, long nowNanos) {
        long periodMillis =
                Math.clamp(
                        position.nodes() * timing.fleetIntervalMillis(),
                        timing.minPeriodMillis(),
                        timing.maxWaitMillis());
        long firstTurnMillis = periodMillis * (position.rank() + 1) / position.nodes();
        long sinceFirstTurnMillis =
                TimeUnit.NANOSECONDS.toMillis(nowNanos - turnsFromNanos) - firstTurnMillis;
        long untilTurnMillis = periodMillis - Math.floorMod(sinceFirstTurnMillis, periodMillis);
        return untilTurnMillis >= timing.minWaitMillis()
                ? untilTurnMillis
                : Math.min(untilTurnMillis + periodMillis, timing.maxWaitMillis());
    }

    private void setTimer(long nanos) {
        timerNanos = nanos;
        effects.add(new WatchEffect.SetTimer(nanos));
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
