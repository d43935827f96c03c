package org.azureshed.idempotency;

import java.util.List;
import java.util.Optional;
import org.azureshed.model.Outcome;

/** Answers claims, takes outcome reports and drops old records. */
final class ClaimSteps {
    private final OwnerRules rules;
    private final KeyTiming timing;

    ClaimSteps(OwnerRules rules) {
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
        long platform =
                Math.max(
                        state.clock().get().estimate(now),
                        range.holding().get().retentionFloorMillis());
        Holding holding = range.holding().get().withFloor(platform);
        Optional<KeyRecord> known = holding.records().get(claim.key()).toJavaOptional();
        ClaimReply reply =
                known.map(record -> replyFrom(record, claim, holding, now))
                        .orElseGet(() -> replyTo(state, range, claim, holding));
        out.add(new OwnerEffect.AnswerClaim(claim.id(), reply));
        boolean granted = known.isEmpty() && reply instanceof ClaimReply.Granted;
        Holding after =
                granted
                        ? holding.withRecord(claim.key(), record(claim, range, holding, now))
                        : holding;
        return state.with(range.withHolding(Optional.of(after)));
    }

    private ClaimReply replyFrom(KeyRecord record, Claim claim, Holding holding, long now) {
        if (!record.fingerprint().equals(claim.fingerprint())) {
            return new ClaimReply.Mismatch();
        }
        if (record.answer().isPresent()) {
            return new ClaimReply.Completed(record.answer().get());
        }
        if (!record.inProgress(now)) {
            return new ClaimReply.Unknown();
        }
        // A repeated message of the same claim gets the same permit again.
        long left = timing.shrink(record.permitEndMillis() - now);
        boolean repeated = record.claim().equals(claim.id()) && left >= timing.minPermitMillis();
        return repeated
                ? new ClaimReply.Granted(left, holding.lease().epoch())
                : new ClaimReply.InProgress();
    }

    private ClaimReply replyTo(OwnerState state, RangeState range, Claim claim, Holding holding) {
        long now = state.nowMillis();
        if (rules.keyExpired(claim.key(), holding.retentionFloorMillis())) {
            return new ClaimReply.KeyExpired();
        }
        if (rules.keyFromFuture(claim.key(), state.clock().get().estimate(now))) {
            return new ClaimReply.KeyFromFuture();
        }
        if (rules.keyBeforeTakeover(claim.key(), holding)) {
            return new ClaimReply.KeyBeforeTakeover();
        }
        if (holding.records().size() >= timing.maxRecords()) {
            return new ClaimReply.RecordFull();
        }
        long length = timing.shrink(permitEnd(range, holding, now) - now);
        return length >= timing.minPermitMillis()
                ? new ClaimReply.Granted(length, holding.lease().epoch())
                : new ClaimReply.NotOwner(Optional.empty());
    }

    private KeyRecord record(Claim claim, RangeState range, Holding holding, long now) {
        long end = permitEnd(range, holding, now);
        return new KeyRecord(
                claim.fingerprint(),
                claim.id(),
                end,
                end + timing.stretch(claim.workMillis()),
                Optional.empty());
    }

    private long permitEnd(RangeState range, Holding holding, long now) {
        return Math.min(rules.grantEnd(holding, range), now + timing.leaseMillis());
    }

    OwnerState report(OwnerState state, OutcomeReport report) {
        RangeState range = state.range(KeyRange.of(report.key()));
        Optional<KeyRecord> record =
                range.holding()
                        .flatMap(h -> h.records().get(report.key()).toJavaOptional())
                        .filter(known -> known.claim().equals(report.claim()))
                        .filter(known -> known.answer().isEmpty());
        if (record.isEmpty()) {
            return state;
        }
        Holding after = apply(range.holding().get(), record.get(), report, state.nowMillis());
        return state.with(range.withHolding(Optional.of(after)));
    }

    private Holding apply(Holding holding, KeyRecord record, OutcomeReport report, long now) {
        return switch (report.outcome()) {
            case Outcome.NotRun notRun ->
                    rules.mayRelease(record, now) ? holding.withoutRecord(report.key()) : holding;
            case Outcome.Unknown unknown ->
                    holding.withRecord(
                            report.key(), record.unknownFrom(rules.unknownFrom(record, now)));
            case Outcome.Completed(int status) -> {
                StoredAnswer answer = report.answer().orElse(StoredAnswer.ofStatus(status));
                boolean fits = holding.answerBytes() + answer.bytes() <= timing.maxAnswerBytes();
                yield holding.withRecord(
                        report.key(),
                        record.completed(fits ? answer : StoredAnswer.ofStatus(status)));
            }
        };
    }

    /** Drops records whose keys are refused by their age from now on. */
    OwnerState dropOldRecords(OwnerState state, KeyRange key) {
        RangeState range = state.range(key);
        long now = state.nowMillis();
        if (range.holding().isEmpty() || !rules.clockUsable(state, now)) {
            return state;
        }
        long platform = state.clock().get().estimate(now);
        Holding holding = range.holding().get();
        long age = timing.retentionMillis() + timing.dropMarginMillis();
        Holding after = holding;
        for (var entry : holding.records().takeWhile(e -> platform - e._1.timeMillis() > age)) {
            if (rules.mayDrop(entry._1, entry._2, platform, now)) {
                after = after.withoutRecord(entry._1).withFloor(platform);
            }
        }
        return after == holding ? state : state.with(range.withHolding(Optional.of(after)));
    }
}
