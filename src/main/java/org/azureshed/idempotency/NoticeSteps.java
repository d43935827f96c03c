package org.azureshed.idempotency;

import java.util.List;
import java.util.Optional;

/** Tells successors that they are named, and lets them confirm it by a read of their own. */
final class NoticeSteps {
    private final KeyTiming timing;

    NoticeSteps(KeyTiming timing) {
        this.timing = timing;
    }

    /** Notifies the successors that have not acknowledged, at each notice interval. */
    OwnerState notifyIfDue(OwnerState state, KeyRange key, List<OwnerEffect> out) {
        RangeState range = state.range(key);
        long now = state.nowMillis();
        boolean due =
                range.holding()
                        .filter(holding -> !holding.stopped() && !holding.notices().isDone())
                        .filter(holding -> now >= holding.notices().dueMillis())
                        .isPresent();
        if (!due) {
            return state;
        }
        Holding holding = range.holding().get();
        LeaseTerm term = LeaseTerm.of(holding.lease());
        holding.notices()
                .versions()
                .forEach(
                        (successor, version) ->
                                out.add(new OwnerEffect.NotifySuccessor(successor, term, version)));
        Notices sent = holding.notices().sent(now + timing.noticeEveryMillis());
        return state.with(range.withHolding(Optional.of(holding.withNotices(sent))));
    }

    /** The notice only causes a read; what the object says decides whether this node is named. */
    OwnerState noticed(
            OwnerState state, OwnerEvent.SuccessorNoticed notice, List<OwnerEffect> out) {
        KeyRange key = notice.lease().range();
        RangeState range = state.range(key);
        boolean current = range.read() && range.version() >= notice.version();
        boolean named =
                current
                        && range.lease()
                                .filter(lease -> LeaseTerm.of(lease).equals(notice.lease()))
                                .filter(lease -> lease.successors().contains(state.self()))
                                .isPresent();
        out.add(
                new OwnerEffect.AnswerNotice(
                        notice.lease(), named, range.version(), notice.token()));
        if (current || state.stopping()) {
            return state;
        }
        out.add(new OwnerEffect.ReadLease(key));
        // An unread range is kept and read again until a read succeeds.
        return range.read()
                ? state
                : state.with(range.withNextCall(state.nowMillis() + timing.renewEveryMillis()));
    }

    OwnerState acknowledged(OwnerState state, OwnerEvent.SuccessorAcknowledged answer) {
        RangeState range = state.range(answer.lease().range());
        return range.holding()
                .filter(holding -> LeaseTerm.of(holding.lease()).equals(answer.lease()))
                .map(
                        holding ->
                                holding.withNotices(
                                        holding.notices()
                                                .acknowledged(
                                                        answer.successor(), answer.version())))
                .map(holding -> state.with(range.withHolding(Optional.of(holding))))
                .orElse(state);
    }
}
