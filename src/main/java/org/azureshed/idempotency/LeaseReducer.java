package org.azureshed.idempotency;

import java.util.List;
import java.util.Optional;

/**
 * Part of {@link OwnerReducer} that acquires, renews and takes over leases, and that detects their
 * loss.
 */
final class LeaseReducer {
    /**
     * Number of slots over which the renewals of all ranges are spread. More slots cost processor
     * time, because renewals are cheaper if many are sent in the same tick: the threads that call
     * the platform use 1.35% of a core with a slot for each range, and 0.77% with all renewals in
     * one slot.
     */
    private static final int RENEWAL_SLOTS = 5;

    private final OwnerRules rules;
    private final KeyTiming timing;

    LeaseReducer(OwnerRules rules) {
        this.rules = rules;
        this.timing = rules.timing();
    }

    /**
     * Tracks the ranges whose best candidate is now this node. The next tick reads their leases.
     */
    OwnerState viewChanged(OwnerState state, RangePlacement placement) {
        OwnerState next = state.withPlacement(placement);
        for (int number = 0; number < KeyRange.COUNT; number++) {
            KeyRange range = new KeyRange(number);
            if (placement.best(range).equals(Optional.of(state.self()))) {
                next = next.with(next.range(range));
            }
        }
        return next;
    }

    /**
     * Reads or writes the lease of a range if that is due, or drops the state of a range that need
     * not be kept.
     */
    OwnerState tick(OwnerState state, KeyRange key, List<OwnerEffect> out) {
        RangeState range = state.range(key);
        long now = state.nowMillis();
        if (now < range.nextCallMillis() || range.expectsAnswer()) {
            return state;
        }
        if (range.writes().isEmpty() && writeDue(state, range)) {
            return write(state, range, out);
        }
        boolean renewalNotDue = range.owned().isPresent() && range.writes().isEmpty();
        if (renewalNotDue) {
            return state;
        }
        if (!mustTrack(state, range)) {
            return state.without(key);
        }
        out.add(new OwnerEffect.ReadLease(key));
        return state.with(range.withNextCall(nextCall(range, now)));
    }

    /**
     * Time of the next read: after one renewal interval, or when a successor's wait for the
     * take-over ends, if that is sooner.
     */
    private long nextCall(RangeState range, long now) {
        long regular = now + timing.renewEveryMillis();
        long due =
                Math.max(
                        range.unchangedSinceMillis() + timing.takeoverWaitMillis(),
                        range.consentGivenUntilMillis());
        return due > now ? Math.min(regular, due) : regular;
    }

    OwnerState onLeaseRead(OwnerState state, OwnerEvent.LeaseRead read, List<OwnerEffect> out) {
        RangeState range = state.range(read.range());
        boolean newer = !range.read() || read.version() > range.version();
        RangeState updated =
                newer ? withNewVersion(state, range, read.lease(), read.version()) : range;
        OwnerState next = state.with(updated);
        boolean current = read.version() == updated.version();
        boolean retry = current && !updated.expectsAnswer() && writeDue(next, updated);
        return retry ? write(next, updated, out) : next;
    }

    OwnerState onWriteAccepted(OwnerState state, OwnerEvent.WriteAccepted accepted) {
        RangeState range = state.range(accepted.lease().range());
        if (accepted.version() <= range.version()) {
            return state;
        }
        RangeState updated =
                withNewVersion(state, range, Optional.of(accepted.lease()), accepted.version());
        return state.with(updated);
    }

    OwnerState onWriteRefused(
            OwnerState state, OwnerEvent.WriteRefused refused, List<OwnerEffect> out) {
        KeyRange key = refused.lease().range();
        RangeState range = state.range(key);
        OwnerState next =
                state.with(
                                range.withWrites(
                                        range.writes()
                                                .filter(w -> !w.lease().equals(refused.lease()))))
                        .withReachable(refused.conflict());
        if (refused.conflict()) {
            out.add(new OwnerEffect.ReadLease(key));
        }
        return next;
    }

    /**
     * Marks a write as unanswered. It may still take effect, so it stays in the list until a newer
     * version is read.
     */
    OwnerState onWriteUnanswered(
            OwnerState state, OwnerEvent.WriteUnanswered unanswered, List<OwnerEffect> out) {
        KeyRange key = unanswered.lease().range();
        RangeState range = state.range(key);
        out.add(new OwnerEffect.ReadLease(key));
        return state.with(
                        range.withWrites(
                                range.writes()
                                        .map(
                                                w ->
                                                        w.lease().equals(unanswered.lease())
                                                                ? w.asUnanswered()
                                                                : w)))
                .withReachable(false);
    }

    /**
     * Applies a version that is newer than the known one. This node owns the range only if it wrote
     * that version itself.
     */
    private RangeState withNewVersion(
            OwnerState state, RangeState range, Optional<KeyRangeLease> lease, long version) {
        Optional<SentWrite> own =
                range.writes()
                        .find(write -> lease.equals(Optional.of(write.lease())))
                        .toJavaOptional();
        RangeState updated = range.withNewVersion(lease, version, state.nowMillis());
        if (own.isEmpty()) {
            return updated.withOwned(Optional.empty());
        }
        SentWrite write = own.get();
        Optional<OwnedRange> renewed =
                range.owned()
                        .filter(owned -> RangeState.sameTerm(owned.lease(), write.lease()))
                        .map(owned -> owned.renewed(write, version));
        if (renewed.isPresent()) {
            return updated.withOwned(renewed);
        }
        OwnedRange fresh = OwnedRange.of(write, version);
        OwnedRange filled =
                write.fromHandOver()
                        ? HandOverReducer.withHandedOverRecords(fresh, range, timing)
                        : fresh;
        return updated.withOwned(Optional.of(filled)).withHandOver(Optional.empty(), 0);
    }

    /**
     * Whether the state of a range must be kept. It is kept while the effect of a write is unknown,
     * because this node must not consent meanwhile, and until the end of a consent that this node
     * gave, because it must not take the range over before.
     */
    private boolean mustTrack(OwnerState state, RangeState range) {
        if (!range.writes().isEmpty() || state.nowMillis() < range.consentGivenUntilMillis()) {
            return true;
        }
        boolean successor =
                range.lease()
                        .filter(lease -> lease.successors().contains(state.self()))
                        .isPresent();
        boolean best = state.placement().best(range.range()).equals(Optional.of(state.self()));
        return !state.stopping()
                && (!range.read() || successor || best || range.handOver().isPresent());
    }

    private boolean writeDue(OwnerState state, RangeState range) {
        long now = state.nowMillis();
        if (state.stopping() || !range.read()) {
            return false;
        }
        if (range.owned().isPresent()) {
            OwnedRange owned = range.owned().get();
            boolean due = now >= nextSlot(range.range(), owned.renewedMillis());
            // Without a clock sample in the lease, a new owner must assume the oldest possible one.
            boolean addsClockSample =
                    owned.lease().clockSampleMillis() == 0 && state.clock().isPresent();
            return !owned.stopped() && (due || addsClockSample);
        }
        if (range.lease().isEmpty()) {
            return state.placement().best(range.range()).equals(Optional.of(state.self()));
        }
        return range.handOver().isPresent()
                || (state.clock().isPresent()
                        && rules.mayTakeOver(state, range, range.lease().get(), now));
    }

    /** Writes a lease that creates the object, renews this node's lease or takes the range over. */
    OwnerState write(OwnerState state, RangeState range, List<OwnerEffect> out) {
        long now = state.nowMillis();
        Optional<OwnedRange> owned = range.owned();
        Optional<HandOver> handOver = range.handOver();
        long completeSince = completeSince(state, range);
        long keysUpTo =
                Math.max(
                        range.lease().map(KeyRangeLease::keysUpToMillis).orElse(0L),
                        Math.max(completeSince, latestKey(owned, handOver)));
        // A hand-over can arrive before this node has read the object.
        long epoch =
                Math.max(
                        range.lease().map(KeyRangeLease::epoch).orElse(0L),
                        handOver.map(received -> received.lease().epoch()).orElse(0L));
        KeyRangeLease lease =
                new KeyRangeLease(
                        range.range(),
                        state.self(),
                        owned.isPresent() ? epoch : epoch + 1,
                        state.placement()
                                .successors(range.range(), state.self(), successors(range)),
                        state.nextWrite(),
                        keysUpTo,
                        state.clock().map(PlatformClock::serverMillis).orElse(0L));
        long expected = Math.max(range.version(), handOver.map(HandOver::version).orElse(0L));
        SentWrite sent =
                new SentWrite(lease, expected, now, completeSince, handOver.isPresent(), false);
        out.add(new OwnerEffect.WriteLease(lease, expected, now));
        return state.withNextWrite()
                .with(
                        range.withWrites(range.writes().append(sent))
                                .withNextCall(nextSlot(range.range(), now)));
    }

    /**
     * Start of the next renewal slot of a range, at most one renewal interval later. The slots are
     * spread over the interval, because nodes that started together would otherwise renew all 128
     * ranges within 100 ms, which delays requests at that moment.
     */
    private long nextSlot(KeyRange range, long millis) {
        long every = timing.renewEveryMillis();
        long shift = range.number() % RENEWAL_SLOTS * every / RENEWAL_SLOTS;
        return (Math.floorDiv(millis - shift, every) + 1) * every + shift;
    }

    private long completeSince(OwnerState state, RangeState range) {
        if (range.owned().isPresent()) {
            return range.owned().get().completeSinceMillis();
        }
        if (range.handOver().isPresent()) {
            return range.handOver().get().completeSinceMillis();
        }
        return range.lease()
                .map(old -> rules.completeSince(state.clock().get(), old, state.nowMillis()))
                .orElse(0L);
    }

    private static long latestKey(Optional<OwnedRange> owned, Optional<HandOver> handOver) {
        long latestHandedOver =
                handOver.stream()
                        .flatMap(received -> received.records().stream())
                        .mapToLong(entry -> entry.key().timeMillis())
                        .max()
                        .orElse(0);
        return Math.max(
                latestHandedOver,
                Math.max(
                        handOver.map(received -> received.lease().keysUpToMillis()).orElse(0L),
                        owned.map(OwnedRange::latestKeyMillis).orElse(0L)));
    }

    private static List<NodeInstance> successors(RangeState range) {
        return range.lease().map(KeyRangeLease::successors).orElse(List.of());
    }
}
