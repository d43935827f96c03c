package org.azureshed.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azureshed.control.Step;

/**
 * Decides as owner, successor or candidate of key ranges. It reads no clock and does no input or
 * output.
 *
 * <pre>{@code
 * OwnerReducer reducer = new OwnerReducer(KeyTiming.STANDARD);
 * Step<OwnerState, OwnerEffect> step =
 *         reducer.reduce(OwnerState.initial(self), new OwnerEvent.Tick(now));
 * }</pre>
 */
public final class OwnerReducer {
    private static final long MAX_ROUND_TRIP_MILLIS = 1_000;

    private final OwnerRules rules;
    private final LeaseSteps leases;
    private final ClaimSteps claims;
    private final ConsentSteps consents;
    private final HandOverSteps handOvers;
    private final NoticeSteps notices;

    /**
     * Creates a reducer.
     *
     * @param timing durations and limits
     */
    public OwnerReducer(KeyTiming timing) {
        this(new OwnerRules(timing));
    }

    OwnerReducer(OwnerRules rules) {
        this.rules = rules;
        this.leases = new LeaseSteps(rules);
        this.claims = new ClaimSteps(rules);
        this.consents = new ConsentSteps(rules);
        this.handOvers = new HandOverSteps(rules);
        this.notices = new NoticeSteps(rules.timing());
    }

    /**
     * Reduces one event.
     *
     * @param before the state before the event
     * @param event the event
     * @return the state after it and what has to be carried out
     */
    public Step<OwnerState, OwnerEffect> reduce(OwnerState before, OwnerEvent event) {
        List<OwnerEffect> out = new ArrayList<>();
        OwnerState state = before.withNow(event.nowMillis());
        OwnerState after =
                switch (event) {
                    case OwnerEvent.Tick tick -> tick(state, out);
                    case OwnerEvent.ViewChanged view -> leases.viewChanged(state, view.placement());
                    case OwnerEvent.LeaseRead read -> leases.read(answered(state, read), read, out);
                    case OwnerEvent.ReadFailed failed -> state.withReachable(false);
                    case OwnerEvent.WriteAccepted accepted ->
                            notices.notifyIfDue(
                                    leases.accepted(answered(state, accepted), accepted),
                                    accepted.lease().range(),
                                    out);
                    case OwnerEvent.WriteRefused refused -> leases.refused(state, refused, out);
                    case OwnerEvent.WriteUnanswered lost -> leases.unanswered(state, lost, out);
                    case OwnerEvent.ClaimReceived received ->
                            claims.claim(state, received.claim(), out);
                    case OwnerEvent.OutcomeReported reported ->
                            claims.report(state, reported.report());
                    case OwnerEvent.NamedAsSuccessor named ->
                            state.with(state.range(named.range()));
                    case OwnerEvent.SuccessorNoticed notice -> notices.noticed(state, notice, out);
                    case OwnerEvent.SuccessorAcknowledged answer ->
                            notices.acknowledged(state, answer);
                    case OwnerEvent.ConsentAsked asked -> consents.asked(state, asked, out);
                    case OwnerEvent.ConsentAnswered answer -> consents.answered(state, answer);
                    case OwnerEvent.HandOverReceived received ->
                            handOvers.received(state, received.handOver(), leases, out);
                    case OwnerEvent.StopRequested stop -> handOvers.stop(state, out);
                };
        return new Step<>(after, out);
    }

    /**
     * Tells whether a node may grant keys of a range.
     *
     * @param state the node's state
     * @param range the range
     * @param nowMillis the node's monotonic clock
     * @return true if a fresh key would be granted
     */
    public boolean mayGrant(OwnerState state, KeyRange range, long nowMillis) {
        return state.ranges().get(range).exists(known -> rules.mayGrant(state, known, nowMillis));
    }

    private OwnerState tick(OwnerState state, List<OwnerEffect> out) {
        OwnerState next = state;
        for (KeyRange range : state.ranges().keySet()) {
            next = claims.dropOldRecords(next, range);
            next = consents.askIfNeeded(next, range, out);
            next = notices.notifyIfDue(next, range, out);
            next = leases.tick(next, range, out);
        }
        return next;
    }

    private static OwnerState answered(OwnerState state, OwnerEvent.LeaseRead read) {
        return sampled(state, read.serverMillis(), read.sentMillis(), read.nowMillis());
    }

    private static OwnerState answered(OwnerState state, OwnerEvent.WriteAccepted accepted) {
        return sampled(state, accepted.serverMillis(), accepted.sentMillis(), accepted.nowMillis());
    }

    /**
     * Samples of slow calls would make the estimate late, so that fresh keys were refused. Samples
     * go forward only, because the lease in the platform tells new owners how old they can be.
     */
    private static OwnerState sampled(OwnerState state, long server, long sent, long now) {
        OwnerState reachable = state.withReachable(true);
        PlatformClock sample = new PlatformClock(server, sent, now);
        Optional<PlatformClock> known = state.clock();
        boolean newer = known.filter(clock -> clock.serverMillis() > server).isEmpty();
        boolean usable = server > 0 && sample.roundTripMillis() <= MAX_ROUND_TRIP_MILLIS;
        return usable && newer ? reachable.withClock(sample) : reachable;
    }
}
