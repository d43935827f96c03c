package org.azureshed.idempotency;

import java.util.List;
import java.util.Optional;

/**
 * Part of {@link OwnerReducer} that notifies nodes that a lease names them as successors. A
 * successor acknowledges a notice only after it has read the lease itself.
 */
final class NoticeReducer {
    private final KeyTiming timing;

    NoticeReducer(KeyTiming timing) {
        this.timing = timing;
    }

    /** Notifies the successors that have not acknowledged, at each notice interval. */
    OwnerState notifyIfDue(OwnerState state, KeyRange key, List<OwnerEffect> out) {
        RangeState range = state.range(key);
        long now = state.nowMillis();
        boolean due =
                range.owned()
                        .filter(owned -> !owned.stopped() && !owned.pendingNotices().isDone())
                        .filter(owned -> now >= owned.pendingNotices().dueMillis())
                        .isPresent();
        if (!due) {
            return state;
        }
        OwnedRange owned = range.owned().get();
        LeaseTerm term = LeaseTerm.of(owned.lease());
        owned.pendingNotices()
                .versions()
                .forEach(
                        (successor, version) ->
                                out.add(new OwnerEffect.NotifySuccessor(successor, term, version)));
        PendingNotices sent = owned.pendingNotices().sent(now + timing.noticeEveryMillis());
        return state.with(range.withOwned(Optional.of(owned.withPendingNotices(sent))));
    }

    /**
     * Answers a notice and reads the platform object if the known version is older. Whether this
     * node is named depends on the object alone.
     */
    OwnerState onSuccessorNoticed(
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
        // A range that was never read is tracked and read again until a read succeeds.
        return range.read()
                ? state
                : state.with(range.withNextCall(state.nowMillis() + timing.renewEveryMillis()));
    }

    OwnerState onSuccessorAcknowledged(OwnerState state, OwnerEvent.SuccessorAcknowledged answer) {
        RangeState range = state.range(answer.lease().range());
        return range.owned()
                .filter(owned -> LeaseTerm.of(owned.lease()).equals(answer.lease()))
                .map(
                        owned ->
                                owned.withPendingNotices(
                                        owned.pendingNotices()
                                                .acknowledged(
                                                        answer.successor(), answer.version())))
                .map(owned -> state.with(range.withOwned(Optional.of(owned))))
                .orElse(state);
    }
}
