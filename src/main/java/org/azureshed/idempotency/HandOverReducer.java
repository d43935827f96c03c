package org.azureshed.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Part of {@link OwnerReducer} that hands ranges over when the process stops as planned. */
final class HandOverReducer {
    private final OwnerRules rules;

    HandOverReducer(OwnerRules rules) {
        this.rules = rules;
    }

    /**
     * Stops granting in all ranges permanently and sends the records of each to its first
     * successor.
     */
    OwnerState stop(OwnerState state, List<OwnerEffect> out) {
        OwnerState next = state.asStopping();
        for (RangeState range : state.ranges().values()) {
            if (range.owned().isPresent() && !range.owned().get().stopped()) {
                OwnedRange owned = range.owned().get();
                next = next.with(range.withOwned(Optional.of(owned.asStopped())));
                if (!owned.lease().successors().isEmpty()) {
                    out.add(
                            new OwnerEffect.SendHandOver(
                                    owned.lease().successors().getFirst(),
                                    handOver(owned, state.nowMillis())));
                }
            }
        }
        return next;
    }

    private static HandOver handOver(OwnedRange owned, long now) {
        List<HandOver.Entry> entries = new ArrayList<>();
        owned.records()
                .forEach(
                        (key, record) ->
                                entries.add(
                                        new HandOver.Entry(
                                                key,
                                                record.fingerprint(),
                                                record.claim(),
                                                Math.max(0, record.permitEndMillis() - now),
                                                Math.max(0, record.unknownFromMillis() - now),
                                                record.answer())));
        return new HandOver(
                owned.lease(),
                owned.version(),
                owned.completeSinceMillis(),
                owned.retentionFloorMillis(),
                entries);
    }

    /**
     * Takes the lease over without a wait, even during a consent that this node gave, because the
     * sender does not grant any more.
     */
    OwnerState onHandOverReceived(
            OwnerState state, HandOver handOver, LeaseReducer leases, List<OwnerEffect> out) {
        RangeState range = state.range(handOver.lease().range());
        boolean newest =
                range.lease()
                        .filter(
                                known ->
                                        known.epoch() >= handOver.lease().epoch()
                                                && !RangeState.sameTerm(known, handOver.lease()))
                        .isEmpty();
        boolean usable =
                newest
                        && state.clock().isPresent()
                        && !state.stopping()
                        && range.owned().isEmpty()
                        && handOver.lease().successors().contains(state.self());
        if (!usable) {
            return state;
        }
        // The message does not carry the sender's last estimate of platform time.
        long floor = rules.estimateBound(state.clock().get(), handOver.lease(), state.nowMillis());
        RangeState withHandOver =
                range.withHandOver(
                        Optional.of(handOver.withRetentionFloor(floor)), state.nowMillis());
        return withHandOver.writes().isEmpty()
                ? leases.write(state.with(withHandOver), withHandOver, out)
                : state.with(withHandOver);
    }

    /**
     * Adds the records of a hand-over. Their remaining times are stretched and counted from its
     * receipt on this node's clock, so they end no earlier than on the sender's.
     */
    static OwnedRange withHandedOverRecords(OwnedRange fresh, RangeState range, KeyTiming timing) {
        if (range.handOver().isEmpty()) {
            return fresh;
        }
        HandOver handOver = range.handOver().get();
        OwnedRange owned = fresh.withRetentionFloor(handOver.retentionFloorMillis());
        for (HandOver.Entry entry : handOver.records()) {
            long base = range.handOverMillis();
            owned =
                    owned.withRecord(
                            entry.key(),
                            new KeyRecord(
                                    entry.fingerprint(),
                                    entry.claim(),
                                    base + timing.stretch(entry.permitLeftMillis()),
                                    base + timing.stretch(entry.unknownLeftMillis()),
                                    entry.answer()));
        }
        return owned;
    }
}
