package org.azureshed.idempotency;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.List;
import java.util.Optional;

/**
 * State of {@link OwnerReducer} for all key ranges of a node.
 *
 * @param self this process
 * @param placement assignment of ranges to the reachable nodes
 * @param platformReachable whether the last call to the platform was answered
 * @param clock newest sample of the platform's clock
 * @param ranges ranges that this node owns, can take over as successor or is the best candidate
 *     for, and ranges with a write or a given consent that can still take effect
 * @param nextWrite number of this process's next write of a lease
 * @param nowMillis latest time of an event
 * @param stopping whether a planned stop of the process has begun
 */
public record OwnerState(
        NodeInstance self,
        RangePlacement placement,
        boolean platformReachable,
        Optional<PlatformClock> clock,
        Map<KeyRange, RangeState> ranges,
        long nextWrite,
        long nowMillis,
        boolean stopping) {
    /** The origin of a monotonic clock is arbitrary, so its values can be negative. */
    private static final long BEFORE_ALL_EVENTS = Long.MIN_VALUE / 2;

    /**
     * State of a process that has just started.
     *
     * @param self the process
     * @return a state without ranges
     */
    public static OwnerState initial(NodeInstance self) {
        return new OwnerState(
                self,
                new RangePlacement(List.of()),
                true,
                Optional.empty(),
                HashMap.empty(),
                1,
                BEFORE_ALL_EVENTS,
                false);
    }

    RangeState range(KeyRange range) {
        return ranges.get(range).getOrElse(() -> RangeState.initial(range, nowMillis));
    }

    OwnerState with(RangeState range) {
        return new OwnerState(
                self,
                placement,
                platformReachable,
                clock,
                ranges.put(range.range(), range),
                nextWrite,
                nowMillis,
                stopping);
    }

    OwnerState without(KeyRange range) {
        return new OwnerState(
                self,
                placement,
                platformReachable,
                clock,
                ranges.remove(range),
                nextWrite,
                nowMillis,
                stopping);
    }

    OwnerState withPlacement(RangePlacement newPlacement) {
        return new OwnerState(
                self,
                newPlacement,
                platformReachable,
                clock,
                ranges,
                nextWrite,
                nowMillis,
                stopping);
    }

    OwnerState withReachable(boolean reachable) {
        return new OwnerState(
                self, placement, reachable, clock, ranges, nextWrite, nowMillis, stopping);
    }

    OwnerState withClock(PlatformClock sample) {
        return new OwnerState(
                self,
                placement,
                platformReachable,
                Optional.of(sample),
                ranges,
                nextWrite,
                nowMillis,
                stopping);
    }

    OwnerState withNow(long newNowMillis) {
        return new OwnerState(
                self,
                placement,
                platformReachable,
                clock,
                ranges,
                nextWrite,
                Math.max(nowMillis, newNowMillis),
                stopping);
    }

    OwnerState withNextWrite() {
        return new OwnerState(
                self,
                placement,
                platformReachable,
                clock,
                ranges,
                nextWrite + 1,
                nowMillis,
                stopping);
    }

    OwnerState asStopping() {
        return new OwnerState(
                self, placement, platformReachable, clock, ranges, nextWrite, nowMillis, true);
    }
}
