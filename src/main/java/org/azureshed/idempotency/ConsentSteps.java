package org.azureshed.idempotency;

import java.util.List;
import java.util.Optional;

/** Bridges platform outages by consent of the successors. */
final class ConsentSteps {
    private final OwnerRules rules;
    private final KeyTiming timing;

    ConsentSteps(OwnerRules rules) {
        this.rules = rules;
        this.timing = rules.timing();
    }

    /** Asks the successors once a renewal is overdue, and again at each renewal interval. */
    OwnerState askIfNeeded(OwnerState state, KeyRange key, List<OwnerEffect> out) {
        RangeState range = state.range(key);
        long now = state.nowMillis();
        if (range.holding().isEmpty() || range.holding().get().stopped()) {
            return state;
        }
        Holding holding = range.holding().get();
        boolean overdue =
                !state.platformReachable()
                        && now >= holding.renewedMillis() + timing.renewEveryMillis();
        boolean useful = now < holding.renewedMillis() + timing.maxConsentMillis();
        boolean again = now >= holding.askedMillis() + timing.renewEveryMillis();
        if (!overdue || !useful || !again) {
            return state;
        }
        for (NodeInstance successor : rules.consentNeeded(holding, range)) {
            out.add(new OwnerEffect.AskConsent(successor, holding.lease(), now));
        }
        Holding asked = holding.withConsents(holding.consents(), now);
        return state.with(range.withHolding(Optional.of(asked)));
    }

    OwnerState asked(OwnerState state, OwnerEvent.ConsentAsked asked, List<OwnerEffect> out) {
        RangeState range = state.range(asked.range());
        boolean granted = rules.mayConsent(state, range, asked);
        out.add(
                new OwnerEffect.AnswerConsent(
                        asked.holder(),
                        asked.range(),
                        asked.epoch(),
                        granted,
                        asked.askedMillis()));
        return granted ? state.with(range.withPromise(rules.promiseEnd(state.nowMillis()))) : state;
    }

    OwnerState answered(OwnerState state, OwnerEvent.ConsentAnswered answer) {
        RangeState range = state.range(answer.range());
        boolean current =
                range.holding()
                        .filter(holding -> holding.lease().epoch() == answer.epoch())
                        .isPresent();
        if (!current || !answer.granted()) {
            return state;
        }
        Holding holding = range.holding().get();
        long end = answer.askedMillis() + timing.leaseMillis();
        long latest = Math.max(end, holding.consents().getOrElse(answer.successor(), end));
        Holding after =
                holding.withConsents(
                        holding.consents().put(answer.successor(), latest), holding.askedMillis());
        return state.with(range.withHolding(Optional.of(after)));
    }
}
