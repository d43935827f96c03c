package org.azureshed.idempotency;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import java.util.Optional;

/**
 * Rules on which the safety of the protocol depends. Tests override single rules to show that the
 * enumeration of states finds a violation without them.
 *
 * <p><b>One owner.</b> The holder of a lease that took effect at version v counts its lease time
 * from before the write was sent. Another node counts from after it has read v, which is later. It
 * waits for the stretched lease time and a margin, and then writes on condition that the version is
 * still v. The holder's lease has ended before that write is sent, even if processes pause: a pause
 * of the holder only shortens the remaining lease time, and a pause of the successor only lengthens
 * its wait. The holder counts a consent from before it asks. The successor is bound by it for the
 * stretched lease time and a margin, counted from after the request arrived. All instances that the
 * object can name at that moment, including those in the holder's writes with unknown effect, must
 * consent. Any other node may replace the object only after the stretched consent limit, which the
 * holder counts from before its last renewal.
 *
 * <p><b>One grant for a key.</b> The holder grants keys up to its estimate of platform time plus
 * the future limit. A new owner without records refuses keys up to its upper bound of platform
 * time, plus the future limit, plus the clock-rate error that the old holder may have accumulated
 * since its last sample (which the lease carries), and up to the largest key time in the lease.
 * Each key that an earlier owner may have granted is therefore refused.
 *
 * <p><b>Final replies.</b> A permit ends before the lease or consent under which it was granted.
 * After a later owner has refused a key, or the outcome of a record has become unknown, the work
 * therefore does not start any more.
 */
class OwnerRules {
    private final KeyTiming timing;

    OwnerRules(KeyTiming timing) {
        this.timing = timing;
    }

    KeyTiming timing() {
        return timing;
    }

    /** End of the time in which the owner may grant, on its monotonic clock. */
    long grantEnd(OwnedRange owned, RangeState range) {
        long lease = owned.renewedMillis() + timing.leaseMillis();
        long limit = owned.renewedMillis() + timing.maxConsentMillis();
        long consent =
                consentNeeded(owned, range)
                        .map(successor -> owned.consents().getOrElse(successor, Long.MIN_VALUE))
                        .min()
                        .getOrElse(Long.MIN_VALUE);
        return Math.min(Math.max(lease, consent), limit);
    }

    /** All instances that the platform object can name as successors. */
    Set<NodeInstance> consentNeeded(OwnedRange owned, RangeState range) {
        return HashSet.ofAll(owned.lease().successors())
                .addAll(range.writes().flatMap(write -> write.lease().successors()));
    }

    boolean mayGrant(OwnerState state, RangeState range, long now) {
        return range.owned()
                .filter(owned -> !owned.stopped() && now < grantEnd(owned, range))
                .isPresent();
    }

    /**
     * Whether the clock sample is recent enough: an estimate from it stays within the error that
     * new owners assume.
     */
    boolean clockUsable(OwnerState state, long now) {
        return state.clock()
                .filter(clock -> now - clock.receivedMillis() <= maxSampleAge())
                .isPresent();
    }

    /** Whether this node may replace the holder of the newest lease that it has read. */
    boolean mayTakeOver(OwnerState state, RangeState range, KeyRangeLease lease, long now) {
        long unchanged = now - range.unchangedSinceMillis();
        boolean successor =
                lease.successors().contains(state.self())
                        && unchanged >= timing.takeoverWaitMillis();
        boolean anyNode =
                unchanged >= timing.replacementWaitMillis()
                        && state.placement().best(range.range()).equals(Optional.of(state.self()));
        return (successor || anyNode) && now >= range.consentGivenUntilMillis();
    }

    /**
     * Whether this node may consent. The platform must be unreachable from here too. This node must
     * have read a lease of the asking holder that names this process as successor, and it must not
     * have a write of its own that could still replace the holder.
     */
    boolean mayConsent(OwnerState state, RangeState range, OwnerEvent.ConsentAsked asked) {
        boolean named =
                range.lease()
                        .filter(known -> known.epoch() == asked.epoch())
                        .filter(known -> known.holder().equals(asked.holder()))
                        .filter(known -> known.successors().contains(state.self()))
                        .isPresent();
        return !state.platformReachable()
                && !state.stopping()
                && named
                && range.writes().isEmpty()
                && range.owned().isEmpty()
                && range.handOver().isEmpty();
    }

    long givenConsentEnd(long now) {
        return now + timing.takeoverWaitMillis();
    }

    /**
     * Upper bound of the times of keys that the holder of a lease or an earlier owner may have
     * granted.
     */
    long completeSince(PlatformClock clock, KeyRangeLease old, long now) {
        return Math.max(
                old.keysUpToMillis(), estimateBound(clock, old, now) + timing.futureMillis());
    }

    /**
     * Upper bound of the platform time that the holder of a lease has used to refuse expired keys.
     */
    long estimateBound(PlatformClock clock, KeyRangeLease old, long now) {
        long platformMillis = clock.upperBound(now, timing);
        long sampleAge =
                Math.min(
                        Math.max(0, platformMillis - old.clockSampleMillis()),
                        timing.stretch(maxSampleAge()));
        return platformMillis + timing.stretch(sampleAge) - sampleAge;
    }

    boolean keyBeforeTakeover(IdempotencyKey key, OwnedRange owned) {
        return key.timeMillis() <= owned.completeSinceMillis();
    }

    boolean keyExpired(IdempotencyKey key, long platformMillis) {
        return platformMillis - key.timeMillis() > timing.retentionMillis();
    }

    boolean keyFromFuture(IdempotencyKey key, long platformMillis) {
        return key.timeMillis() - platformMillis > timing.futureMillis();
    }

    boolean mayDrop(IdempotencyKey key, KeyRecord record, long platformMillis, long now) {
        long age = platformMillis - key.timeMillis();
        return age > timing.retentionMillis() + timing.dropMarginMillis()
                && !record.inProgress(now);
    }

    /**
     * Whether a report that the work did not run releases the key. It does not once the outcome
     * counts as unknown, because the caller may have been told so and may have acted on it.
     */
    boolean mayRelease(KeyRecord record, long now) {
        return record.inProgress(now);
    }

    /**
     * Time from which the outcome counts as unknown after the entry side reported it as unknown.
     * The request may still be on its way to the target until the permit ends.
     */
    long unknownFrom(KeyRecord record, long now) {
        return Math.min(record.unknownFromMillis(), record.permitEndMillis());
    }

    private long maxSampleAge() {
        return timing.maxConsentMillis() + timing.leaseMillis();
    }
}
