package org.azureshed.poison;

import io.vavr.collection.List;
import java.util.ArrayList;
import org.azureshed.control.Step;
import org.azureshed.poison.PoisonState.Entry;
import org.azureshed.poison.PoisonState.Key;
import org.azureshed.poison.PoisonState.LocalCrash;

/**
 * Tells requests that crash targets from innocent ones and from targets that crash by themselves.
 */
public final class PoisonReducer {
    /** Unexplained crashes of one target within the lifetime of entries that make a crash loop. */
    static final int LOOP_CRASHES = 3;

    /** Time in which a host's report of a crash reaches the entry side that sent the request. */
    private static final long HOLD_MILLIS = 30_000;

    /** Bounds the memory of a flood of broken connections. */
    private static final int MAX_HELD = 1_024;

    /**
     * Longest time from taking an entry's remaining life to its arrival. Without this deduction two
     * nodes would return an expired entry to each other for ever.
     */
    private static final long HOP_MILLIS = 3_000;

    private static final int MAX_CRASHES = 16;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;

    /**
     * Reduces one event.
     *
     * @param state the state before the event
     * @param event the event
     * @return the state after it and what has to be carried out
     */
    public Step<PoisonState, PoisonEffect> reduce(PoisonState state, PoisonEvent event) {
        return switch (event) {
            case PoisonEvent.Tick(long now) -> publish(state, state.at(now));
            case PoisonEvent.TargetCrashed(CrashReport report) -> crashed(state, report);
            case PoisonEvent.Completed(RequestFingerprint fingerprint, int status) ->
                    publish(state, completed(state, fingerprint, status));
            case PoisonEvent.AttemptLost(RequestFingerprint fingerprint) ->
                    publish(state, hold(state, fingerprint));
            case PoisonEvent.SuspectsHeard(var entries) -> publish(state, heard(state, entries));
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
                        .take(MAX_CRASHES);
        next = next.withCrashes(next.crashes().put(report.target(), history));
        PoisonView view = next.view();
        int unexplained =
                history.count(crash -> crash.inFlight().stream().noneMatch(view::refused));
        java.util.List<PoisonEffect> effects = new ArrayList<>(publish(state, next).effects());
        if (unexplained >= LOOP_CRASHES) {
            effects.add(new PoisonEffect.CrashLoop(report.service(), report.target(), unexplained));
        }
        return new Step<>(next, effects);
    }

    /**
     * A target that survived the request proves that the request was not what killed the others.
     */
    private static PoisonState completed(
            PoisonState state, RequestFingerprint fingerprint, int status) {
        boolean refusedByTarget =
                status >= FIRST_SERVER_ERROR
                        || status == REQUEST_TIMEOUT
                        || status == TOO_MANY_REQUESTS;
        if (refusedByTarget) {
            return state;
        }
        PoisonState next = state.withHeld(state.held().remove(fingerprint));
        for (Key key : state.entries().keySet()) {
            if (key.fingerprint().equals(fingerprint)) {
                next = next.merge(key, new Entry(true, Long.MAX_VALUE));
            }
        }
        return next;
    }

    private static PoisonState hold(PoisonState state, RequestFingerprint fingerprint) {
        if (state.held().size() >= MAX_HELD) {
            return state;
        }
        return state.withHeld(state.held().put(fingerprint, state.nowMillis() + HOLD_MILLIS));
    }

    private static PoisonState heard(PoisonState state, java.util.List<SuspectEntry> entries) {
        PoisonState next = state;
        for (SuspectEntry entry : entries) {
            long remaining =
                    Math.min(entry.remainingMillis(), PoisonState.LIFETIME_MILLIS) - HOP_MILLIS;
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
