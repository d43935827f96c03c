package org.azureshed.poison;

import io.vavr.collection.List;
import java.util.ArrayList;
import org.azureshed.control.Step;
import org.azureshed.poison.PoisonState.Entry;
import org.azureshed.poison.PoisonState.Key;
import org.azureshed.poison.PoisonState.LocalCrash;

/**
 * Finds requests that crash targets, and distinguishes them from other requests that were in flight
 * in a crash and from targets that crash on their own.
 */
public final class PoisonReducer {
    /**
     * Unexplained crashes of one target, within the lifetime of entries, that are a crash loop. A
     * crash is unexplained if no request in flight is one that is refused as a cause of crashes.
     */
    static final int CRASH_LOOP_THRESHOLD = 3;

    /**
     * Time for which a request is suspect after one of its attempts was lost. Meanwhile a host's
     * report of a crash reaches the entry side that sent the request.
     */
    private static final long PROVISIONAL_MILLIS = 30_000;

    /** Bounds memory when many connections break at once. */
    private static final int MAX_PROVISIONAL = 1_024;

    /**
     * Longest time that gossip needs from one node to the next; it is deducted from an entry's
     * remaining lifetime. Without it two nodes would send an expired entry back and forth for ever.
     */
    private static final long MAX_TRANSIT_MILLIS = 3_000;

    private static final int MAX_CRASHES_PER_TARGET = 16;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;

    /**
     * Applies one event. Has no side effects.
     *
     * @param state the state before the event
     * @param event the event to apply
     * @return the state after the event, and the side effects to execute
     */
    public Step<PoisonState, PoisonEffect> reduce(PoisonState state, PoisonEvent event) {
        return switch (event) {
            case PoisonEvent.Tick(long now) -> publish(state, state.advanceTo(now));
            case PoisonEvent.TargetCrashed(CrashReport report) -> crashed(state, report);
            case PoisonEvent.Completed(RequestFingerprint fingerprint, int status) ->
                    publish(state, completed(state, fingerprint, status));
            case PoisonEvent.AttemptLost(RequestFingerprint fingerprint) ->
                    publish(state, addProvisional(state, fingerprint));
            case PoisonEvent.SuspectsReceived(var entries) ->
                    publish(state, mergeGossip(state, entries));
        };
    }

    private static Step<PoisonState, PoisonEffect> publish(PoisonState old, PoisonState next) {
        PoisonView view = next.view();
        return view.equals(old.view())
                ? Step.of(next)
                : new Step<>(next, java.util.List.of(new PoisonEffect.PublishView(view)));
    }

    private static Step<PoisonState, PoisonEffect> crashed(PoisonState state, CrashReport report) {
        PoisonState next = state;
        Entry suspect = new Entry(false, state.nowMillis() + PoisonState.LIFETIME_MILLIS);
        for (RequestFingerprint fingerprint : report.inFlight()) {
            next = next.merge(new Key(report.crashId(), fingerprint), suspect);
        }
        List<LocalCrash> history =
                next.crashes()
                        .getOrElse(report.target(), List.empty())
                        .reject(crash -> crash.crashId() == report.crashId())
                        .prepend(
                                new LocalCrash(
                                        report.crashId(), state.nowMillis(), report.inFlight()))
                        .take(MAX_CRASHES_PER_TARGET);
        next = next.withCrashes(next.crashes().put(report.target(), history));
        PoisonView view = next.view();
        int unexplained =
                history.count(crash -> crash.inFlight().stream().noneMatch(view::refused));
        java.util.List<PoisonEffect> effects = new ArrayList<>(publish(state, next).effects());
        if (unexplained >= CRASH_LOOP_THRESHOLD) {
            effects.add(new PoisonEffect.CrashLoop(report.service(), report.target(), unexplained));
        }
        return new Step<>(next, effects);
    }

    /**
     * Clears a suspect that a target processed without a crash, since it did not cause the earlier
     * crashes. A status of 500 or above, 408 or 429 does not clear the entry, since the target may
     * have rejected the request instead of processing it.
     */
    private static PoisonState completed(
            PoisonState state, RequestFingerprint fingerprint, int status) {
        boolean inconclusive =
                status >= FIRST_SERVER_ERROR
                        || status == REQUEST_TIMEOUT
                        || status == TOO_MANY_REQUESTS;
        if (inconclusive) {
            return state;
        }
        PoisonState next = state.withProvisional(state.provisional().remove(fingerprint));
        for (Key key : state.entries().keySet()) {
            if (key.fingerprint().equals(fingerprint)) {
                next = next.merge(key, new Entry(true, Long.MAX_VALUE));
            }
        }
        return next;
    }

    private static PoisonState addProvisional(PoisonState state, RequestFingerprint fingerprint) {
        if (state.provisional().size() >= MAX_PROVISIONAL) {
            return state;
        }
        return state.withProvisional(
                state.provisional().put(fingerprint, state.nowMillis() + PROVISIONAL_MILLIS));
    }

    private static PoisonState mergeGossip(
            PoisonState state, java.util.List<SuspectEntry> entries) {
        PoisonState next = state;
        for (SuspectEntry entry : entries) {
            long remaining =
                    Math.min(entry.remainingMillis(), PoisonState.LIFETIME_MILLIS)
                            - MAX_TRANSIT_MILLIS;
            if (remaining > 0) {
                next =
                        next.merge(
                                new Key(entry.crashId(), entry.fingerprint()),
                                new Entry(entry.cleared(), state.nowMillis() + remaining));
            }
        }
        return next;
    }
}
