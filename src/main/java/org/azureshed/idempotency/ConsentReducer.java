package org.azureshed.idempotency;

import java.util.List;
import java.util.Optional;

/**
 * Part of {@link OwnerReducer} that lets an owner go on granting during an outage of the platform,
 * with the consent of its successors.
 */
final class ConsentReducer {
    private final OwnerRules rules;
    private final KeyTiming timing;

    ConsentReducer(OwnerRules rules) {
        this.rules = rules;
        this.timing = rules.timing();
    }

    /**
     * Asks the successors for consent once a renewal is overdue and the platform does not answer,
     * and again at each renewal interval up to the consent limit.
     */
    OwnerState askIfNeeded(OwnerState state, KeyRange key, List<OwnerEffect> out) {
        RangeState range = state.range(key);
        long now = state.nowMillis();
        if (range.owned().isEmpty() || range.owned().get().stopped()) {
            return state;
        }
        OwnedRange owned = range.owned().get();
        boolean renewalOverdue =
                !state.platformReachable()
                        && now >= owned.renewedMillis() + timing.renewEveryMillis();
        boolean withinConsentLimit = now < owned.renewedMillis() + timing.maxConsentMillis();
        boolean askDue = now >= owned.askedMillis() + timing.renewEveryMillis();
        if (!renewalOverdue || !withinConsentLimit || !askDue) {
            return state;
        }
        for (NodeInstance successor : rules.consentNeeded(owned, range)) {
            out.add(new OwnerEffect.AskConsent(successor, owned.lease(), now));
        }
        OwnedRange afterAsking = owned.withConsents(owned.consents(), now);
        return state.with(range.withOwned(Optional.of(afterAsking)));
    }

    OwnerState onConsentAsked(
            OwnerState state, OwnerEvent.ConsentAsked asked, List<OwnerEffect> out) {
        RangeState range = state.range(asked.range());
        boolean granted = rules.mayConsent(state, range, asked);
        out.add(
                new OwnerEffect.AnswerConsent(
                        asked.holder(), asked.range(), asked.epoch(), granted, asked.token()));
        return granted
                ? state.with(range.withConsentGiven(rules.givenConsentEnd(state.nowMillis())))
                : state;
    }

    OwnerState onConsentAnswered(OwnerState state, OwnerEvent.ConsentAnswered answer) {
        RangeState range = state.range(answer.range());
        boolean current =
                range.owned().filter(owned -> owned.lease().epoch() == answer.epoch()).isPresent();
        if (!current || !answer.granted()) {
            return state;
        }
        OwnedRange owned = range.owned().get();
        long end = answer.askedMillis() + timing.leaseMillis();
        long latest = Math.max(end, owned.consents().getOrElse(answer.successor(), end));
        OwnedRange after =
                owned.withConsents(
                        owned.consents().put(answer.successor(), latest), owned.askedMillis());
        return state.with(range.withOwned(Optional.of(after)));
    }
}
