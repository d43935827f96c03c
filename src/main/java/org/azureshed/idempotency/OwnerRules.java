package org.azureshed.idempotency;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import java.util.Optional;

/**
 * The inequalities on which safety rests. Tests override single rules to show that the enumeration
 * finds a violation without them.
 *
 * <p><b>One owner.</b> A lease that took effect at version v counts on the holder's clock from
 * before the write was sent. Another node counts from after it has seen v, which is later, waits
 * the stretched lease time and a margin, and then writes on condition that the version is still v.
 * The holder's lease has ended before that write is sent, whatever pauses occur: a pause of the
 * holder only shortens what is left, a pause of the successor only lengthens its wait. The holder
 * counts consent from before it asks; a successor keeps it for the stretched time from after the
 * request arrived. All instances that the object can name at that moment, including those in the
 * holder's unresolved writes, must consent; nobody else may replace the object before the stretched
 * consent limit, which the holder counts from before its last renewal.
 *
 * <p><b>One grant for a key.</b> The holder grants keys up to its estimate of platform time plus
 * the future limit. A new owner without records refuses keys up to its upper bound of platform
 * time, plus the future limit, plus the clock-rate error that the old holder can have accumulated
 * since its last sample (which the lease carries), and up to the largest key time in the lease. So
 * each key that an earlier owner can have granted is refused.
 *
 * <p><b>Settled replies.</b> Permits end before the lease or consent under which they were granted,
 * so once a later owner refuses a key, or a record became unknown, the work does not start any
 * more.
 */
class OwnerRules {
    private final KeyTiming timing;

    OwnerRules(KeyTiming timing) {
        this.timing = timing;
    }

    KeyTiming timing() {
        return timing;
    }

    /** End of the time in which a holder may grant, on its clock. */
    long grantEnd(Holding holding, RangeState range) {
        long lease = holding.renewedMillis() + timing.leaseMillis();
        long limit = holding.renewedMillis() + timing.maxConsentMillis();
        long consent =
                consentNeeded(holding, range)
                        .map(successor -> holding.consents().getOrElse(successor, Long.MIN_VALUE))
                        .min()
                        .getOrElse(Long.MIN_VALUE);
        return Math.min(Math.max(lease, consent), limit);
    }

    /** All instances that the platform object can name as successors. */
    Set<NodeInstance> consentNeeded(Holding holding, RangeState range) {
        return HashSet.ofAll(holding.lease().successors())
                .addAll(range.writes().flatMap(write -> write.lease().successors()));
    }

    boolean mayGrant(OwnerState state, RangeState range, long now) {
        return range.holding()
                .filter(holding -> !holding.stopped() && now < grantEnd(holding, range))
                .isPresent();
    }

    /** Whether platform time can be extrapolated within the error that new owners allow for. */
    boolean clockUsable(OwnerState state, long now) {
        return state.clock()
                .filter(clock -> now - clock.receivedMillis() <= maxSampleAge())
                .isPresent();
    }

    /** Whether this node may replace the holder of the lease that it knows. */
    boolean mayTakeOver(OwnerState state, RangeState range, KeyRangeLease lease, long now) {
        long unchanged = now - range.knownSinceMillis();
        boolean successor =
                lease.successors().contains(state.self())
                        && unchanged >= timing.takeoverWaitMillis();
        boolean anyNode =
                unchanged >= timing.replacementWaitMillis()
                        && state.placement().best(range.range()).equals(Optional.of(state.self()));
        return (successor || anyNode) && now >= range.promisedUntilMillis();
    }

    /**
     * Whether this node may consent. It must have read that the asking holder named this very
     * instance, and it may not have a write of its own that could still replace the holder.
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
                && range.holding().isEmpty()
                && range.handOver().isEmpty();
    }

    long promiseEnd(long now) {
        return now + timing.takeoverWaitMillis();
    }

    /** Keys up to the result may have been granted by the holder of a lease or its predecessors. */
    long completeSince(PlatformClock clock, KeyRangeLease old, long now) {
        return Math.max(
                old.keysUpToMillis(), estimateBound(clock, old, now) + timing.futureMillis());
    }

    /** Upper bound of the platform time by which the holder of a lease has refused old keys. */
    long estimateBound(PlatformClock clock, KeyRangeLease old, long now) {
        long platform = clock.upperBound(now, timing);
        long sampleAge =
                Math.min(
                        Math.max(0, platform - old.clockSampleMillis()),
                        timing.stretch(maxSampleAge()));
        return platform + timing.stretch(sampleAge) - sampleAge;
    }

    boolean keyBeforeTakeover(IdempotencyKey key, Holding holding) {
        return key.timeMillis() <= holding.completeSinceMillis();
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
     * Whether a report that the work did not run releases the key. Once a caller can have been told
     * that the outcome is unknown, it may have acted on that.
     */
    boolean mayRelease(KeyRecord record, long now) {
        return record.inProgress(now);
    }

    /**
     * From when a reported loss makes the outcome unknown. The request may still be on its way to
     * the target while the permit lasts.
     */
    long unknownFrom(KeyRecord record, long now) {
        return Math.min(record.unknownFromMillis(), record.permitEndMillis());
    }

    private long maxSampleAge() {
        return timing.maxConsentMillis() + timing.leaseMillis();
    }
}
