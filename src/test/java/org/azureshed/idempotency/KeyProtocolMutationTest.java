package org.azureshed.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import java.util.Optional;
import java.util.stream.Stream;
import org.azureshed.idempotency.KeyProtocolScenario.Fault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against an enumeration that cannot fail: each rule is disabled in turn, and the
 * enumeration must find the violation that the rule prevents.
 */
class KeyProtocolMutationTest {
    private static final long MAX_STATES = 1_000_000;
    private static final String TWO_OWNERS = "two nodes may grant";
    private static final String TWICE = "the work started twice";
    private static final String SETTLED =
            "the work started after a reply that its outcome is settled";

    private static OwnerRules rules(String disabledRule, long consent) {
        return new MutatedRules(KeyProtocolScenario.timingWith(100_000, consent), disabledRule);
    }

    /** Rules of which one is disabled. */
    private static final class MutatedRules extends OwnerRules {
        private final String disabledRule;

        MutatedRules(KeyTiming timing, String disabledRule) {
            super(timing);
            this.disabledRule = disabledRule;
        }

        @Override
        boolean mayTakeOver(OwnerState state, RangeState range, KeyRangeLease lease, long now) {
            return disabledRule.equals("wait for the unchanged object")
                    ? lease.successors().contains(state.self())
                    : super.mayTakeOver(state, range, lease, now);
        }

        @Override
        long givenConsentEnd(long now) {
            return disabledRule.equals("consent binds the successor")
                    ? now
                    : super.givenConsentEnd(now);
        }

        @Override
        Set<NodeInstance> consentNeeded(OwnedRange owned, RangeState range) {
            return disabledRule.equals("consent of both successors")
                    ? HashSet.of(owned.lease().successors().getFirst())
                    : super.consentNeeded(owned, range);
        }

        @Override
        boolean mayConsent(OwnerState state, RangeState range, OwnerEvent.ConsentAsked asked) {
            RangeState without =
                    disabledRule.equals("no consent with a write in flight")
                            ? range.withWrites(io.vavr.collection.List.empty())
                            : range;
            return super.mayConsent(state, without, asked);
        }

        @Override
        long grantEnd(OwnedRange owned, RangeState range) {
            long regular = super.grantEnd(owned, range);
            if (disabledRule.equals("limit of consent")) {
                return consentNeeded(owned, range)
                        .map(successor -> owned.consents().getOrElse(successor, 0L))
                        .min()
                        .map(consent -> Math.max(regular, consent))
                        .getOrElse(regular);
            }
            if (disabledRule.equals("unknown write does not extend the lease")) {
                return range.writes()
                        .map(write -> write.sentMillis() + timing().leaseMillis())
                        .foldLeft(regular, Math::max);
            }
            return regular;
        }

        @Override
        boolean mayGrant(OwnerState state, RangeState range, long now) {
            return disabledRule.equals("no grant after a hand-over")
                    ? range.owned().filter(owned -> now < grantEnd(owned, range)).isPresent()
                    : super.mayGrant(state, range, now);
        }

        @Override
        boolean keyBeforeTakeover(IdempotencyKey key, OwnedRange owned) {
            return !disabledRule.equals("key before take-over")
                    && super.keyBeforeTakeover(key, owned);
        }

        @Override
        boolean keyExpired(IdempotencyKey key, long platformMillis) {
            return !disabledRule.equals("retention") && super.keyExpired(key, platformMillis);
        }

        @Override
        boolean keyFromFuture(IdempotencyKey key, long platformMillis) {
            return !disabledRule.equals("key from the future")
                    && super.keyFromFuture(key, platformMillis);
        }

        @Override
        boolean mayRelease(KeyRecord record, long now) {
            return disabledRule.equals("no release once unknown") || super.mayRelease(record, now);
        }

        @Override
        long unknownFrom(KeyRecord record, long now) {
            return disabledRule.equals("unknown only after the permit")
                    ? now
                    : super.unknownFrom(record, now);
        }
    }

    private static Arguments ownership(String disabledRule, int nodes, int faults, Fault... kinds) {
        return ownership(disabledRule, nodes, 6, faults, 350, kinds);
    }

    private static Arguments ownership(
            String disabledRule, int nodes, int steps, int faults, long consent, Fault... kinds) {
        return Arguments.of(
                TWO_OWNERS,
                new KeyProtocolScenario(disabledRule, kinds)
                        .bounds(nodes, steps, faults)
                        .attempts(0, 0)
                        .consent(consent)
                        .rules(rules(disabledRule, consent)));
    }

    private static Arguments senders(
            String violation, String disabledRule, int secondAttempts, long key, Fault... kinds) {
        return Arguments.of(
                violation,
                new KeyProtocolScenario(disabledRule, kinds)
                        .bounds(2, 5, 1)
                        .attempts(1, secondAttempts)
                        .keyAt(key)
                        .rules(rules(disabledRule, 350)));
    }

    static Stream<Arguments> mutations() {
        return Stream.of(
                ownership("wait for the unchanged object", 2, 1, Fault.values()),
                ownership("consent binds the successor", 3, 2, Fault.OUTAGE, Fault.PAUSE),
                ownership("consent of both successors", 3, 2, Fault.OUTAGE, Fault.PAUSE),
                ownership("limit of consent", 4, 2, Fault.OUTAGE, Fault.PAUSE),
                ownership(
                        "no consent with a write in flight",
                        3,
                        5,
                        3,
                        600,
                        Fault.PAUSE,
                        Fault.LOST_ANSWER,
                        Fault.OUTAGE),
                ownership(
                        "unknown write does not extend the lease",
                        2,
                        2,
                        Fault.LOST_ANSWER,
                        Fault.OUTAGE),
                ownership("no grant after a hand-over", 2, 1, Fault.STOP),
                senders(TWICE, "key before take-over", 1, 0, Fault.PAUSE),
                senders(TWICE, "key from the future", 1, 450, Fault.PAUSE),
                senders(SETTLED, "no release once unknown", 2, 0, Fault.DELAY),
                senders(SETTLED, "unknown only after the permit", 1, 0, Fault.DELAY),
                Arguments.of(
                        TWICE,
                        new KeyProtocolScenario("retention", Fault.DELAY)
                                .bounds(2, 4, 0)
                                .retention(100)
                                .rules(
                                        new MutatedRules(
                                                KeyProtocolScenario.timingWith(100, 350),
                                                "retention"))),
                Arguments.of(SETTLED, new WithoutStartBy().bounds(2, 4, 1)),
                Arguments.of(SETTLED, new WithoutTargetDeadline().bounds(2, 4, 1)),
                Arguments.of(SETTLED, new WithoutBootId().bounds(2, 4, 2).claimableNodes(1)),
                Arguments.of(
                        TWICE,
                        new ReusedClaimId().bounds(2, 1, 3).attempts(2, 1).claimableNodes(1)));
    }

    /** The host side and the target ignore start_by. */
    private static final class WithoutStartBy extends KeyProtocolScenario {
        WithoutStartBy() {
            super("start_by at the host side", Fault.DELAY);
        }

        @Override
        PermitClock.StartBy startByAtHost(PermitClock.StartBy startBy, int boot) {
            return new PermitClock.StartBy(startBy.bootId(), Integer.MAX_VALUE);
        }
    }

    /** The target ignores its deadline. */
    private static final class WithoutTargetDeadline extends KeyProtocolScenario {
        WithoutTargetDeadline() {
            super("deadline at the target", Fault.DELAY);
        }

        @Override
        long deadlineAtTarget(long deadline) {
            return Long.MAX_VALUE;
        }
    }

    /** The host side ignores the boot id and compares clocks of different origins. */
    private static final class WithoutBootId extends KeyProtocolScenario {
        WithoutBootId() {
            super("boot id at the host side", Fault.DELAY, Fault.HOST_RESTART);
        }

        @Override
        PermitClock.StartBy startByAtHost(PermitClock.StartBy startBy, int boot) {
            return new PermitClock.StartBy(Integer.toString(boot), startBy.hostMillis());
        }
    }

    /** The entry side uses one claim id for all its attempts. */
    private static final class ReusedClaimId extends KeyProtocolScenario {
        ReusedClaimId() {
            super("claim id for one attempt only", Fault.DELAY, Fault.DUPLICATE);
        }

        @Override
        long claimNumber(int attempt) {
            return 1;
        }
    }

    @ParameterizedTest
    @MethodSource("mutations")
    void findsTheViolationWithoutTheRule(String violation, KeyProtocolScenario scenario) {
        StateSearch.Result result = StateSearch.run(new KeyProtocolModel(scenario), MAX_STATES);

        System.out.printf(
                "rule_off=\"%s\" states=%d violation=\"%s\"%n",
                scenario.name(), result.states(), result.violation().orElse("none"));
        assertEquals(Optional.of(violation), result.violation());
    }
}
