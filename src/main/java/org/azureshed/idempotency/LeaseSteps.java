package org.azureshed.idempotency;

import java.util.List;
import java.util.Optional;

/** Acquires, renews, loses and takes over leases. */
final class LeaseSteps {
    /**
     * Few slots, because a renewal on its own takes more processor time than one in a group: with a
     * slot for each range the threads that call the platform took 1.35% of a core, with all
     * renewals together 0.77%.
     */
    private static final int RENEWAL_SLOTS = 5;

    private final OwnerRules rules;
    private final KeyTiming timing;

    LeaseSteps(OwnerRules rules) {
        this.rules = rules;
        this.timing = rules.timing();
    }

    /** Starts to read the ranges of which this node became the best candidate. */
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

    /** Calls the platform for a range if it is time to. */
    OwnerState tick(OwnerState state, KeyRange key, List<OwnerEffect> out) {
        RangeState range = state.range(key);
        long now = state.nowMillis();
        if (now < range.nextCallMillis() || range.expectsAnswer()) {
            return state;
        }
        if (range.writes().isEmpty() && writeDue(state, range)) {
            return write(state, range, out);
        }
        boolean quiet = range.holding().isPresent() && range.writes().isEmpty();
        if (quiet) {
            return state;
        }
        if (!relevant(state, range)) {
            return state.without(key);
        }
        out.add(new OwnerEffect.ReadLease(key));
        return state.with(range.withNextCall(nextCall(range, now)));
    }

    /** A successor wakes up when the take-over is due, if that is before the next read. */
    private long nextCall(RangeState range, long now) {
        long regular = now + timing.renewEveryMillis();
        long due =
                Math.max(
                        range.knownSinceMillis() + timing.takeoverWaitMillis(),
                        range.promisedUntilMillis());
        return due > now ? Math.min(regular, due) : regular;
    }

    OwnerState read(OwnerState state, OwnerEvent.LeaseRead read, List<OwnerEffect> out) {
        RangeState range = state.range(read.range());
        boolean newer = !range.read() || read.version() > range.version();
        RangeState seen = newer ? newVersion(state, range, read.lease(), read.version()) : range;
        OwnerState next = state.with(seen);
        boolean current = read.version() == seen.version();
        boolean retry = current && !seen.expectsAnswer() && writeDue(next, seen);
        return retry ? write(next, seen, out) : next;
    }

    OwnerState accepted(OwnerState state, OwnerEvent.WriteAccepted accepted) {
        RangeState range = state.range(accepted.lease().range());
        if (accepted.version() <= range.version()) {
            return state;
        }
        RangeState seen =
                newVersion(state, range, Optional.of(accepted.lease()), accepted.version());
        return state.with(seen);
    }

    OwnerState refused(OwnerState state, OwnerEvent.WriteRefused refused, List<OwnerEffect> out) {
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

    /** The write may still take effect, so it stays in the list until a newer version is seen. */
    OwnerState unanswered(
            OwnerState state, OwnerEvent.WriteUnanswered lost, List<OwnerEffect> out) {
        KeyRange key = lost.lease().range();
        RangeState range = state.range(key);
        out.add(new OwnerEffect.ReadLease(key));
        return state.with(
                        range.withWrites(
                                range.writes()
                                        .map(w -> w.lease().equals(lost.lease()) ? w.lost() : w)))
                .withReachable(false);
    }

    /** Takes in a version that is newer than the known one. */
    private RangeState newVersion(
            OwnerState state, RangeState range, Optional<KeyRangeLease> lease, long version) {
        Optional<SentWrite> own =
                range.writes()
                        .find(write -> lease.equals(Optional.of(write.lease())))
                        .toJavaOptional();
        RangeState seen = range.seen(lease, version, state.nowMillis());
        if (own.isEmpty()) {
            return seen.withHolding(Optional.empty());
        }
        SentWrite write = own.get();
        Optional<Holding> renewed =
                range.holding()
                        .filter(h -> RangeState.sameTerm(h.lease(), write.lease()))
                        .map(h -> h.renewed(write, version));
        if (renewed.isPresent()) {
            return seen.withHolding(renewed);
        }
        Holding fresh = Holding.of(write, version);
        Holding filled = write.fromHandOver() ? HandOverSteps.adopt(fresh, range, timing) : fresh;
        return seen.withHolding(Optional.of(filled)).withHandOver(Optional.empty(), 0);
    }

    /** Unresolved writes and promises are kept, because later consents depend on them. */
    private boolean relevant(OwnerState state, RangeState range) {
        if (!range.writes().isEmpty() || state.nowMillis() < range.promisedUntilMillis()) {
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
        if (range.holding().isPresent()) {
            Holding holding = range.holding().get();
            boolean due = now >= nextSlot(range.range(), holding.renewedMillis());
            // Without a sample in the lease, a new owner would have to assume the oldest one.
            boolean sample = holding.lease().clockSampleMillis() == 0 && state.clock().isPresent();
            return !holding.stopped() && (due || sample);
        }
        if (range.lease().isEmpty()) {
            return state.placement().best(range.range()).equals(Optional.of(state.self()));
        }
        return range.handOver().isPresent()
                || (state.clock().isPresent()
                        && rules.mayTakeOver(state, range, range.lease().get(), now));
    }

    /** Writes the lease that renews, takes over or creates the object. */
    OwnerState write(OwnerState state, RangeState range, List<OwnerEffect> out) {
        long now = state.nowMillis();
        Optional<Holding> holding = range.holding();
        Optional<HandOver> handOver = range.handOver();
        long completeSince = completeSince(state, range);
        long keysUpTo =
                Math.max(
                        range.lease().map(KeyRangeLease::keysUpToMillis).orElse(0L),
                        Math.max(completeSince, latestKey(holding, handOver)));
        // A hand-over can arrive before the object was read.
        long epoch =
                Math.max(
                        range.lease().map(KeyRangeLease::epoch).orElse(0L),
                        handOver.map(received -> received.lease().epoch()).orElse(0L));
        KeyRangeLease lease =
                new KeyRangeLease(
                        range.range(),
                        state.self(),
                        holding.isPresent() ? epoch : epoch + 1,
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
     * spread over the interval: nodes that started together renewed all 128 ranges within 100 ms,
     * which delayed the requests of that moment.
     */
    private long nextSlot(KeyRange range, long millis) {
        long every = timing.renewEveryMillis();
        long shift = range.number() % RENEWAL_SLOTS * every / RENEWAL_SLOTS;
        return (Math.floorDiv(millis - shift, every) + 1) * every + shift;
    }

    private long completeSince(OwnerState state, RangeState range) {
        if (range.holding().isPresent()) {
            return range.holding().get().completeSinceMillis();
        }
        if (range.handOver().isPresent()) {
            return range.handOver().get().completeSinceMillis();
        }
        return range.lease()
                .map(old -> rules.completeSince(state.clock().get(), old, state.nowMillis()))
                .orElse(0L);
    }

    private static long latestKey(Optional<Holding> holding, Optional<HandOver> handOver) {
        long handed =
                handOver.stream()
                        .flatMap(received -> received.records().stream())
                        .mapToLong(entry -> entry.key().timeMillis())
                        .max()
                        .orElse(0);
        return Math.max(
                handed,
                Math.max(
                        handOver.map(received -> received.lease().keysUpToMillis()).orElse(0L),
                        holding.map(Holding::latestKeyMillis).orElse(0L)));
    }

    private static List<NodeInstance> successors(RangeState range) {
        return range.lease().map(KeyRangeLease::successors).orElse(List.of());
    }
}
