package org.azureshed.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Hands ranges over at a planned stop. */
final class HandOverSteps {
    private final OwnerRules rules;

    HandOverSteps(OwnerRules rules) {
        this.rules = rules;
    }

    /** Stops granting in all ranges for good and sends the records to the first successors. */
    OwnerState stop(OwnerState state, List<OwnerEffect> out) {
        OwnerState next = state.asStopping();
        for (RangeState range : state.ranges().values()) {
            if (range.holding().isPresent() && !range.holding().get().stopped()) {
                Holding holding = range.holding().get();
                next = next.with(range.withHolding(Optional.of(holding.asStopped())));
                if (!holding.lease().successors().isEmpty()) {
                    out.add(
                            new OwnerEffect.SendHandOver(
                                    holding.lease().successors().getFirst(),
                                    handOver(holding, state.nowMillis())));
                }
            }
        }
        return next;
    }

    private static HandOver handOver(Holding holding, long now) {
        List<HandOver.Entry> entries = new ArrayList<>();
        holding.records()
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
                holding.lease(),
                holding.version(),
                holding.completeSinceMillis(),
                holding.retentionFloorMillis(),
                entries);
    }

    /** The sender has stopped, so the lease is taken without a wait and despite a consent. */
    OwnerState received(
            OwnerState state, HandOver handOver, LeaseSteps leases, List<OwnerEffect> out) {
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
                        && range.holding().isEmpty()
                        && handOver.lease().successors().contains(state.self());
        if (!usable) {
            return state;
        }
        // The message has no room for the sender's last estimate of platform time.
        long floor = rules.estimateBound(state.clock().get(), handOver.lease(), state.nowMillis());
        RangeState received =
                range.withHandOver(Optional.of(handOver.withFloor(floor)), state.nowMillis());
        return received.writes().isEmpty()
                ? leases.write(state.with(received), received, out)
                : state.with(received);
    }

    /** Takes the records in; their remaining times count in full on this node's clock. */
    static Holding adopt(Holding fresh, RangeState range, KeyTiming timing) {
        if (range.handOver().isEmpty()) {
            return fresh;
        }
        HandOver handOver = range.handOver().get();
        Holding holding = fresh.withFloor(handOver.retentionFloorMillis());
        for (HandOver.Entry entry : handOver.records()) {
            long base = range.handOverMillis();
            holding =
                    holding.withRecord(
                            entry.key(),
                            new KeyRecord(
                                    entry.fingerprint(),
                                    entry.claim(),
                                    base + timing.stretch(entry.permitLeftMillis()),
                                    base + timing.stretch(entry.unknownLeftMillis()),
                                    entry.answer()));
        }
        return holding;
    }
}
