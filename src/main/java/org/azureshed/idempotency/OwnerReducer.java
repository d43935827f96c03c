package org.azureshed.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azureshed.control.Step;

/**
 * Decides which key ranges this node owns and answers claims for them. For each range the node can
 * be owner, successor or candidate. The reducer reads no clock and does no input or output.
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
    private final LeaseReducer leases;
    private final ClaimReducer claims;
    private final ConsentReducer consents;
    private final HandOverReducer handOvers;
    private final NoticeReducer notices;

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
        this.leases = new LeaseReducer(rules);
        this.claims = new ClaimReducer(rules);
        this.consents = new ConsentReducer(rules);
        this.handOvers = new HandOverReducer(rules);
        this.notices = new NoticeReducer(rules.timing());
    }

    /**
     * Reduces one event.
     *
     * @param before the state before the event
     * @param event the event
     * @return the state after the event and the effects to carry out
     */
    public Step<OwnerState, OwnerEffect> reduce(OwnerState before, OwnerEvent event) {
        List<OwnerEffect> out = new ArrayList<>();
        OwnerState state = before.withNow(event.nowMillis());
        OwnerState after =
                switch (event) {
                    case OwnerEvent.Tick tick -> tick(state, out);
                    case OwnerEvent.ViewChanged view -> leases.viewChanged(state, view.placement());
                    case OwnerEvent.LeaseRead read ->
                            leases.onLeaseRead(withPlatformAnswer(state, read), read, out);
                    case OwnerEvent.ReadFailed failed -> state.withReachable(false);
                    case OwnerEvent.WriteAccepted accepted ->
                            notices.notifyIfDue(
                                    leases.onWriteAccepted(
                                            withPlatformAnswer(state, accepted), accepted),
                                    accepted.lease().range(),
                                    out);
                    case OwnerEvent.WriteRefused refused ->
                            leases.onWriteRefused(state, refused, out);
                    case OwnerEvent.WriteUnanswered unanswered ->
                            leases.onWriteUnanswered(state, unanswered, out);
                    case OwnerEvent.ClaimReceived received ->
                            claims.claim(state, received.claim(), out);
                    case OwnerEvent.OutcomeReported reported ->
                            claims.report(state, reported.report());
                    case OwnerEvent.NamedAsSuccessor named ->
                            state.with(state.range(named.range()));
                    case OwnerEvent.SuccessorNoticed notice ->
                            notices.onSuccessorNoticed(state, notice, out);
                    case OwnerEvent.SuccessorAcknowledged answer ->
                            notices.onSuccessorAcknowledged(state, answer);
                    case OwnerEvent.ConsentAsked asked ->
                            consents.onConsentAsked(state, asked, out);
                    case OwnerEvent.ConsentAnswered answer ->
                            consents.onConsentAnswered(state, answer);
                    case OwnerEvent.HandOverReceived received ->
                            handOvers.onHandOverReceived(state, received.handOver(), leases, out);
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

    private static OwnerState withPlatformAnswer(OwnerState state, OwnerEvent.LeaseRead read) {
        return withClockSample(state, read.serverMillis(), read.sentMillis(), read.nowMillis());
    }

    private static OwnerState withPlatformAnswer(
            OwnerState state, OwnerEvent.WriteAccepted accepted) {
        return withClockSample(
                state, accepted.serverMillis(), accepted.sentMillis(), accepted.nowMillis());
    }

    /**
     * Marks the platform as reachable and takes its time as a clock sample. Samples of slow calls
     * are ignored, because an estimate from them lags and new keys would be refused as coming from
     * the future. Samples older than the known one are ignored, because new owners limit the age of
     * the sample by the time in the lease.
     */
    private static OwnerState withClockSample(OwnerState state, long server, long sent, long now) {
        OwnerState reachable = state.withReachable(true);
        PlatformClock sample = new PlatformClock(server, sent, now);
        Optional<PlatformClock> known = state.clock();
        boolean newer = known.filter(clock -> clock.serverMillis() > server).isEmpty();
        boolean usable = server > 0 && sample.roundTripMillis() <= MAX_ROUND_TRIP_MILLIS;
        return usable && newer ? reachable.withClock(sample) : reachable;
    }
}
