package org.azureshed.idempotency;

import java.util.List;
import java.util.Optional;
import org.azureshed.model.Outcome;

/**
 * Part of {@link OwnerReducer} that answers claims, applies outcome reports and drops expired
 * records.
 */
final class ClaimReducer {
    private final OwnerRules rules;
    private final KeyTiming timing;

    ClaimReducer(OwnerRules rules) {
        this.rules = rules;
        this.timing = rules.timing();
    }

    OwnerState claim(OwnerState state, Claim claim, List<OwnerEffect> out) {
        RangeState range = state.range(KeyRange.of(claim.key()));
        long now = state.nowMillis();
        boolean outdated = range.lease().map(KeyRangeLease::epoch).orElse(0L) < claim.epochSeen();
        if (outdated || !rules.mayGrant(state, range, now) || !rules.clockUsable(state, now)) {
            Optional<NodeInstance> hint = range.lease().map(KeyRangeLease::holder);
            out.add(new OwnerEffect.AnswerClaim(claim.id(), new ClaimReply.NotOwner(hint)));
            return state;
        }
        long platformMillis =
                Math.max(
                        state.clock().get().estimate(now),
                        range.owned().get().retentionFloorMillis());
        OwnedRange owned = range.owned().get().withRetentionFloor(platformMillis);
        Optional<KeyRecord> known = owned.records().get(claim.key()).toJavaOptional();
        ClaimReply reply =
                known.map(record -> replyFromRecord(record, claim, owned, now))
                        .orElseGet(() -> replyWithoutRecord(state, range, claim, owned));
        out.add(new OwnerEffect.AnswerClaim(claim.id(), reply));
        boolean granted = known.isEmpty() && reply instanceof ClaimReply.Granted;
        OwnedRange after =
                granted ? owned.withRecord(claim.key(), record(claim, range, owned, now)) : owned;
        return state.with(range.withOwned(Optional.of(after)));
    }

    private ClaimReply replyFromRecord(KeyRecord record, Claim claim, OwnedRange owned, long now) {
        if (!record.fingerprint().equals(claim.fingerprint())) {
            return new ClaimReply.Mismatch();
        }
        if (record.answer().isPresent()) {
            return new ClaimReply.Completed(record.answer().get());
        }
        if (!record.inProgress(now)) {
            return new ClaimReply.Unknown();
        }
        // A duplicate message of the same claim gets the same permit again.
        long remainingMillis = timing.shrink(record.permitEndMillis() - now);
        boolean repeated =
                record.claim().equals(claim.id()) && remainingMillis >= timing.minPermitMillis();
        return repeated
                ? new ClaimReply.Granted(remainingMillis, owned.lease().epoch())
                : new ClaimReply.InProgress();
    }

    private ClaimReply replyWithoutRecord(
            OwnerState state, RangeState range, Claim claim, OwnedRange owned) {
        long now = state.nowMillis();
        if (rules.keyExpired(claim.key(), owned.retentionFloorMillis())) {
            return new ClaimReply.KeyExpired();
        }
        if (rules.keyFromFuture(claim.key(), state.clock().get().estimate(now))) {
            return new ClaimReply.KeyFromFuture();
        }
        if (rules.keyBeforeTakeover(claim.key(), owned)) {
            return new ClaimReply.KeyBeforeTakeover();
        }
        if (owned.records().size() >= timing.maxRecords()) {
            return new ClaimReply.RecordFull();
        }
        long length = timing.shrink(permitEnd(range, owned, now) - now);
        return length >= timing.minPermitMillis()
                ? new ClaimReply.Granted(length, owned.lease().epoch())
                : new ClaimReply.NotOwner(Optional.empty());
    }

    private KeyRecord record(Claim claim, RangeState range, OwnedRange owned, long now) {
        long end = permitEnd(range, owned, now);
        return new KeyRecord(
                claim.fingerprint(),
                claim.id(),
                end,
                end + timing.stretch(claim.workMillis()),
                Optional.empty());
    }

    private long permitEnd(RangeState range, OwnedRange owned, long now) {
        return Math.min(rules.grantEnd(owned, range), now + timing.leaseMillis());
    }

    OwnerState report(OwnerState state, OutcomeReport report) {
        RangeState range = state.range(KeyRange.of(report.key()));
        Optional<KeyRecord> record =
                range.owned()
                        .flatMap(owned -> owned.records().get(report.key()).toJavaOptional())
                        .filter(known -> known.claim().equals(report.claim()))
                        .filter(known -> known.answer().isEmpty());
        if (record.isEmpty()) {
            return state;
        }
        OwnedRange after =
                withOutcome(range.owned().get(), record.get(), report, state.nowMillis());
        return state.with(range.withOwned(Optional.of(after)));
    }

    private OwnedRange withOutcome(
            OwnedRange owned, KeyRecord record, OutcomeReport report, long now) {
        return switch (report.outcome()) {
            case Outcome.NotRun notRun ->
                    rules.mayRelease(record, now) ? owned.withoutRecord(report.key()) : owned;
            case Outcome.Unknown unknown ->
                    owned.withRecord(
                            report.key(), record.withUnknownFrom(rules.unknownFrom(record, now)));
            case Outcome.Completed(int status) -> {
                StoredAnswer answer = report.answer().orElse(StoredAnswer.ofStatus(status));
                boolean fits = owned.answerBytes() + answer.bytes() <= timing.maxAnswerBytes();
                yield owned.withRecord(
                        report.key(),
                        record.withAnswer(fits ? answer : StoredAnswer.ofStatus(status)));
            }
        };
    }

    /** Drops records whose keys are refused as expired from now on. */
    OwnerState dropOldRecords(OwnerState state, KeyRange key) {
        RangeState range = state.range(key);
        long now = state.nowMillis();
        if (range.owned().isEmpty() || !rules.clockUsable(state, now)) {
            return state;
        }
        long platformMillis = state.clock().get().estimate(now);
        OwnedRange owned = range.owned().get();
        long age = timing.retentionMillis() + timing.dropMarginMillis();
        OwnedRange after = owned;
        for (var entry : owned.records().takeWhile(e -> platformMillis - e._1.timeMillis() > age)) {
            if (rules.mayDrop(entry._1, entry._2, platformMillis, now)) {
                after = after.withoutRecord(entry._1).withRetentionFloor(platformMillis);
            }
        }
        return after == owned ? state : state.with(range.withOwned(Optional.of(after)));
    }
}
