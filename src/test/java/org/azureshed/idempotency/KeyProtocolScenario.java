package org.azureshed.idempotency;

import java.util.EnumSet;
import java.util.Set;

/** Bounds of one enumeration and the rules that are disabled in it. */
class KeyProtocolScenario {
    /** Faults that the enumeration may insert between any two steps. */
    enum Fault {
        PAUSE,
        DELAY,
        DUPLICATE,
        LOST_ANSWER,
        OUTAGE,
        FIRST_OWNER_RESTART,
        SUCCESSOR_RESTART,
        HOST_RESTART,
        STOP
    }

    /**
     * Clock rates in ms for each step. The first owner's clock is slow and the other nodes' clocks
     * are fast, which is the worst case for a take-over.
     */
    private static final long SLOW_MILLIS_PER_STEP = 100;

    private static final long FAST_MILLIS_PER_STEP = 110;

    private final String name;
    private final Set<Fault> faults;
    private int nodes = 2;
    private int steps = 4;
    private int maxFaults = 1;
    private int firstAttempts = 1;
    private int secondAttempts = 1;
    private int claimableNodes = 2;
    private long keyMillis;
    private long retentionMillis = 100_000;
    private long consentMillis = 350;
    private OwnerRules rules;

    KeyProtocolScenario(String name, Fault... faults) {
        this.name = name;
        this.faults = EnumSet.noneOf(Fault.class);
        this.faults.addAll(Set.of(faults));
    }

    KeyProtocolScenario bounds(int newNodes, int newSteps, int newMaxFaults) {
        nodes = newNodes;
        steps = newSteps;
        maxFaults = newMaxFaults;
        return this;
    }

    KeyProtocolScenario attempts(int first, int second) {
        firstAttempts = first;
        secondAttempts = second;
        return this;
    }

    KeyProtocolScenario keyAt(long millis) {
        keyMillis = millis;
        return this;
    }

    KeyProtocolScenario claimableNodes(int count) {
        claimableNodes = count;
        return this;
    }

    KeyProtocolScenario retention(long millis) {
        retentionMillis = millis;
        return this;
    }

    /** Sets the limit of consent. Node 3 may replace the object after it. */
    KeyProtocolScenario consent(long millis) {
        consentMillis = millis;
        return this;
    }

    KeyProtocolScenario rules(OwnerRules changed) {
        rules = changed;
        return this;
    }

    String name() {
        return name;
    }

    boolean has(Fault fault) {
        return faults.contains(fault);
    }

    boolean restarts(int node) {
        return node == 0
                ? has(Fault.FIRST_OWNER_RESTART)
                : node == 1 && has(Fault.SUCCESSOR_RESTART);
    }

    int nodes() {
        return nodes;
    }

    int steps() {
        return steps;
    }

    int faults() {
        return maxFaults;
    }

    int attempts(int sender) {
        return sender == 0 ? firstAttempts : secondAttempts;
    }

    boolean hasSenders() {
        return firstAttempts + secondAttempts > 0;
    }

    int claimableNodes() {
        return claimableNodes;
    }

    long keyMillis() {
        return keyMillis;
    }

    long rate(int node) {
        return node == 0 ? SLOW_MILLIS_PER_STEP : FAST_MILLIS_PER_STEP;
    }

    long hostRate() {
        return SLOW_MILLIS_PER_STEP;
    }

    KeyTiming timing() {
        return timingWith(retentionMillis, consentMillis);
    }

    static KeyTiming timingWith(long retentionMillis, long consentMillis) {
        return new KeyTiming(
                210, 100, 10, 10, consentMillis, retentionMillis, 20, 50, 1, 10, 1_000);
    }

    OwnerRules rules() {
        return rules == null ? new OwnerRules(timing()) : rules;
    }

    /** Value of start_by that the host side checks. Overridden to disable the check. */
    PermitClock.StartBy startByAtHost(PermitClock.StartBy startBy, int boot) {
        return startBy;
    }

    /** Deadline that the target checks. Overridden to disable the check. */
    long deadlineAtTarget(long deadline) {
        return deadline;
    }

    long claimNumber(int attempt) {
        return attempt;
    }
}
