package org.azureshed.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azureshed.control.Step;
import org.azureshed.model.NodeId;
import org.junit.jupiter.api.Test;

/** Guards against a successor that does not know that it is named when the owner fails. */
class SuccessorNoticeTest {
    private static final KeyTiming TIMING = KeyTiming.STANDARD;
    private static final KeyRange RANGE = new KeyRange(0);
    private static final long PLATFORM_MILLIS = 1_796_000_000_000L;
    private static final long NOTICE_MILLIS = TIMING.noticeEveryMillis();

    private final OwnerReducer reducer = new OwnerReducer(TIMING);
    private final NodeInstance owner = new NodeInstance(new NodeId("owner"), 1);
    private final NodeInstance successor = new NodeInstance(new NodeId("successor"), 1);
    private final KeyRangeLease lease =
            new KeyRangeLease(RANGE, owner, 1, List.of(successor), 1, 0, PLATFORM_MILLIS);
    private final LeaseTerm term = LeaseTerm.of(lease);
    private final List<OwnerEffect> effects = new ArrayList<>();

    private OwnerState reduce(OwnerState state, OwnerEvent event) {
        Step<OwnerState, OwnerEffect> step = reducer.reduce(state, event);
        effects.clear();
        effects.addAll(step.effects());
        return step.state();
    }

    private <T extends OwnerEffect> List<T> sent(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private OwnerState read(OwnerState state, KeyRangeLease content, long version, long now) {
        return reduce(
                state,
                new OwnerEvent.LeaseRead(
                        RANGE, Optional.of(content), version, now, now, PLATFORM_MILLIS + now));
    }

    /** State of the owner after its first write, which names the successor, was accepted. */
    private OwnerState ownerAfterFirstWrite() {
        RangePlacement both =
                new RangePlacement(
                        List.of(
                                new OwnerCandidate(owner, "zone-1"),
                                new OwnerCandidate(successor, "zone-2")));
        OwnerState state = OwnerState.initial(owner).withPlacement(both);
        state = reduce(state.with(state.withNow(0).range(RANGE)), new OwnerEvent.Tick(0));
        KeyRangeLease previousLease =
                new KeyRangeLease(RANGE, successor, 1, List.of(owner), 1, 0, 0);
        state = read(state, previousLease, 1, 0);
        long takeover = TIMING.takeoverWaitMillis();
        state = reduce(state, new OwnerEvent.Tick(takeover));
        OwnerEffect.WriteLease write = sent(OwnerEffect.WriteLease.class).getFirst();
        return reduce(
                state,
                new OwnerEvent.WriteAccepted(
                        write.lease(), 2, takeover, takeover, PLATFORM_MILLIS + takeover));
    }

    private static OwnerEvent acknowledged(OwnerEffect.NotifySuccessor notice, long version) {
        return new OwnerEvent.SuccessorAcknowledged(notice.lease(), notice.to(), version, 0);
    }

    /** A lost notice or answer must not leave the successor unaware until the next listing. */
    @Test
    void ownerRepeatsTheNoticeUntilItIsAcknowledged() {
        OwnerState state = ownerAfterFirstWrite();
        OwnerEffect.NotifySuccessor notice = sent(OwnerEffect.NotifySuccessor.class).getFirst();
        assertEquals(successor, notice.to());
        long now = TIMING.takeoverWaitMillis() + NOTICE_MILLIS;
        state = reduce(state, new OwnerEvent.Tick(now));
        assertEquals(List.of(notice), sent(OwnerEffect.NotifySuccessor.class));
        OwnerState old = reduce(state, acknowledged(notice, notice.version() - 1));
        reduce(old, new OwnerEvent.Tick(now + NOTICE_MILLIS));
        assertEquals(List.of(notice), sent(OwnerEffect.NotifySuccessor.class), "old read");
        state = reduce(state, acknowledged(notice, notice.version()));
        reduce(state, new OwnerEvent.Tick(now + NOTICE_MILLIS));
        assertEquals(List.of(), sent(OwnerEffect.NotifySuccessor.class));
    }

    /** A notice alone must not make a node a successor, nor be acknowledged before a read. */
    @Test
    void successorReadsTheObjectBeforeItAcknowledges() {
        OwnerEvent notice = new OwnerEvent.SuccessorNoticed(term, 5, 7, 0);
        OwnerState state = reduce(OwnerState.initial(successor), notice);
        assertEquals(1, sent(OwnerEffect.ReadLease.class).size());
        assertFalse(sent(OwnerEffect.AnswerNotice.class).getFirst().named());
        state = read(state, lease, 5, 0);
        state = reduce(state, notice);
        assertEquals(
                List.of(new OwnerEffect.AnswerNotice(term, true, 5, 7)), effects, "no new read");
        reduce(state, new OwnerEvent.Tick(TIMING.takeoverWaitMillis() - 1));
        assertEquals(List.of(), sent(OwnerEffect.WriteLease.class));
        reduce(state, new OwnerEvent.Tick(TIMING.takeoverWaitMillis()));
        assertEquals(1, sent(OwnerEffect.WriteLease.class).size());
    }

    /**
     * A wrong notice, or a late one of an earlier owner, causes one read and makes no node a
     * successor.
     */
    @Test
    void objectThatNamesAnotherNodeOverrulesTheNotice() {
        KeyRangeLease other = new KeyRangeLease(RANGE, owner, 2, List.of(), 1, 0, PLATFORM_MILLIS);
        OwnerEvent notice = new OwnerEvent.SuccessorNoticed(term, 5, 7, 0);
        OwnerState state = reduce(OwnerState.initial(successor), notice);
        state = reduce(read(state, other, 6, 0), notice);
        assertEquals(List.of(new OwnerEffect.AnswerNotice(term, false, 6, 7)), effects);
        state = reduce(state, new OwnerEvent.Tick(TIMING.renewEveryMillis()));
        assertTrue(state.ranges().isEmpty(), "the range must not be tracked any more");
    }

    /**
     * A node that has just read that it is not named must read again when a newer version names it.
     */
    @Test
    void noticeOfANewerVersionCausesAReadAtOnce() {
        KeyRangeLease other = new KeyRangeLease(RANGE, owner, 1, List.of(), 1, 0, PLATFORM_MILLIS);
        OwnerState state = OwnerState.initial(successor).withNow(0);
        state = read(state.with(state.range(RANGE)), other, 4, 0);
        reduce(state, new OwnerEvent.SuccessorNoticed(term, 5, 7, 1));
        assertEquals(List.of(new OwnerEffect.ReadLease(RANGE)), sent(OwnerEffect.ReadLease.class));
    }
}
