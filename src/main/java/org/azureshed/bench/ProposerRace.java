package org.azureshed.bench;

import java.util.ArrayList;
import java.util.List;
import org.azureshed.control.Step;
import org.azureshed.ejection.ClassDigest;
import org.azureshed.ejection.EjectedTarget;
import org.azureshed.ejection.EjectionEffect;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.ejection.EjectionRecord;
import org.azureshed.ejection.EjectionReducer;
import org.azureshed.ejection.EjectionState;
import org.azureshed.ejection.FloorCheck;
import org.azureshed.ejection.Stage;
import org.azureshed.ejection.TargetDigest;
import org.azureshed.ejection.TargetView;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/**
 * Explores every interleaving of the reads and writes of three nodes that propose ejections for one
 * record, and counts the interleavings that violate an invariant.
 *
 * <p>Each node has found a different target to be slow, and the floor allows two ejections; the
 * answer to one write of each node may be lost. In the variant with a drain no answer is lost, but
 * two targets start to drain at any point. The floor then allows no ejection, so an ejected target
 * has to be readmitted while proposals are in progress.
 */
final class ProposerRace {
    private static final String SERVICE = "service";
    private static final int PROPOSERS = 3;
    private static final int TARGETS = 8;
    private static final int SLOTS = 4;
    private static final int FLOOR_PERCENT = 70;

    /** After the cold start period, in which new targets are not reported as slow. */
    private static final long FIRST_TICK_MILLIS = 40_000;

    /**
     * Counts of a search.
     *
     * @param interleavings number of interleavings explored to the end
     * @param floorViolations interleavings in which the record violated the floor
     * @param lostEjections interleavings in which a write dropped another node's ejection
     */
    record Result(long interleavings, long floorViolations, long lostEjections) {}

    /**
     * State of all nodes and of the store between two steps. Never modified, since several
     * interleavings continue from it.
     *
     * @param pendingCalls calls to the platform of each node that have not been executed yet
     * @param answerLost whether the answer to a write of each node was lost
     */
    private record SystemState(
            EjectionRecord storedRecord,
            long storedVersion,
            List<EjectionState> nodeStates,
            List<List<EjectionEffect>> pendingCalls,
            List<Boolean> answerLost,
            Phase phase,
            Violations violations) {}

    /** Progress of the drain. */
    private enum Phase {
        BEFORE_DRAIN,
        /** Two targets are draining. */
        DRAINED,
        /**
         * All proposals ended, and idle nodes evaluated the latest record once more. Without a
         * drain it is the only phase.
         */
        FINAL_CHECK
    }

    /**
     * Violations of the invariants so far.
     *
     * @param floorRestored whether a version that keeps the floor was written after the drain
     * @param floorViolated whether a version violated the floor before the drain or after the floor
     *     had been restored
     * @param ejectionLost whether a write removed an ejected target without readmission
     */
    private record Violations(boolean floorRestored, boolean floorViolated, boolean ejectionLost) {}

    private final EjectionReducer reducer = new EjectionReducer();
    private final boolean conditionalWrites;
    private final boolean withDrain;
    private long interleavings;
    private long floorViolations;
    private long lostEjections;

    /**
     * Creates a search.
     *
     * @param conditionalWrites whether a write fails if the version has changed; unconditional
     *     writes violate the invariants
     * @param withDrain whether two targets start to drain at any point
     */
    ProposerRace(boolean conditionalWrites, boolean withDrain) {
        this.conditionalWrites = conditionalWrites;
        this.withDrain = withDrain;
    }

    Result search() {
        explore(initialState());
        return new Result(interleavings, floorViolations, lostEjections);
    }

    /** State in which each node has found a target to be slow and is about to read the record. */
    private SystemState initialState() {
        List<EjectionState> nodeStates = new ArrayList<>();
        List<List<EjectionEffect>> pendingCalls = new ArrayList<>();
        List<Boolean> answerLost = new ArrayList<>();
        for (int node = 0; node < PROPOSERS; node++) {
            EjectionState state = EjectionState.initial(new NodeId("node-" + node));
            List<EjectionEffect> effects = new ArrayList<>();
            state = applyEvent(state, serviceUpdated(false), effects);
            long nowMillis = FIRST_TICK_MILLIS;
            while (effects.isEmpty()) {
                state = applyEvent(state, new EjectionEvent.Tick(nowMillis, 1), effects);
                for (int target = 0; target < TARGETS; target++) {
                    state = applyEvent(state, digest(target, target == node, nowMillis), effects);
                }
                nowMillis += 1_000;
            }
            nodeStates.add(state);
            pendingCalls.add(effects);
            answerLost.add(false);
        }
        return new SystemState(
                EjectionRecord.empty(SERVICE),
                0,
                nodeStates,
                pendingCalls,
                answerLost,
                withDrain ? Phase.BEFORE_DRAIN : Phase.FINAL_CHECK,
                new Violations(false, false, false));
    }

    private static EjectionEvent serviceUpdated(boolean drained) {
        return new EjectionEvent.ServiceUpdated(
                SERVICE, FLOOR_PERCENT, PROPOSERS, targetViews(drained));
    }

    private static List<TargetView> targetViews(boolean drained) {
        List<TargetView> targetViews = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            boolean ready = !drained || i < TARGETS - 2;
            targetViews.add(
                    new TargetView(new TargetId("t" + i), new NodeId("host"), SLOTS, ready));
        }
        return targetViews;
    }

    private static EjectionEvent digest(int target, boolean slow, long nowMillis) {
        long micros = (slow ? 500_000 : 50_000) + target;
        ClassDigest digest =
                new ClassDigest("page", 40, 0, 40, micros, micros * 3 / 2, micros * 2, 1_000);
        return new EjectionEvent.DigestReceived(
                SERVICE, new TargetId("t" + target), new TargetDigest(nowMillis, List.of(digest)));
    }

    /** Applies an event and adds the calls to the platform that it causes to a list. */
    private EjectionState applyEvent(
            EjectionState state, EjectionEvent event, List<EjectionEffect> effects) {
        Step<EjectionState, EjectionEffect> step = reducer.reduce(state, event);
        for (EjectionEffect effect : step.effects()) {
            boolean platformCall =
                    effect instanceof EjectionEffect.ReadRecord
                            || effect instanceof EjectionEffect.WriteRecord;
            if (platformCall) {
                effects.add(effect);
            }
        }
        return step.state();
    }

    /** Explores all continuations of a state depth-first. */
    private void explore(SystemState system) {
        boolean idle = true;
        for (int node = 0; node < PROPOSERS; node++) {
            if (!system.pendingCalls().get(node).isEmpty()) {
                idle = false;
                explore(execute(system, node, false));
                boolean write =
                        system.pendingCalls().get(node).get(0)
                                instanceof EjectionEffect.WriteRecord;
                if (write && !withDrain && !system.answerLost().get(node)) {
                    explore(execute(system, node, true));
                }
            }
        }
        if (system.phase() == Phase.BEFORE_DRAIN) {
            explore(drain(system));
        } else if (idle && system.phase() == Phase.DRAINED) {
            explore(refreshIdleNodes(system, Phase.FINAL_CHECK));
        } else if (idle) {
            interleavings++;
            boolean anyFloorViolation =
                    system.violations().floorViolated()
                            || !floorHolds(system, system.storedRecord());
            floorViolations += anyFloorViolation ? 1 : 0;
            lostEjections += system.violations().ejectionLost() ? 1 : 0;
        }
    }

    private boolean floorHolds(SystemState system, EjectionRecord record) {
        boolean drained = withDrain && system.phase() != Phase.BEFORE_DRAIN;
        return new FloorCheck(targetViews(drained), FLOOR_PERCENT).holds(record);
    }

    /** Lets two targets drain. Idle nodes evaluate the latest record. */
    private SystemState drain(SystemState system) {
        List<EjectionState> nodeStates = new ArrayList<>();
        List<List<EjectionEffect>> pendingCalls = new ArrayList<>();
        for (int node = 0; node < PROPOSERS; node++) {
            List<EjectionEffect> effects = new ArrayList<>(system.pendingCalls().get(node));
            EjectionState state =
                    applyEvent(system.nodeStates().get(node), serviceUpdated(true), effects);
            nodeStates.add(state);
            pendingCalls.add(effects);
        }
        return refreshIdleNodes(
                new SystemState(
                        system.storedRecord(),
                        system.storedVersion(),
                        nodeStates,
                        pendingCalls,
                        system.answerLost(),
                        Phase.DRAINED,
                        system.violations()),
                Phase.DRAINED);
    }

    /** Passes the latest record to the idle nodes, which propose a change if one is needed. */
    private SystemState refreshIdleNodes(SystemState system, Phase phase) {
        List<EjectionState> nodeStates = new ArrayList<>();
        List<List<EjectionEffect>> pendingCalls = new ArrayList<>();
        for (int node = 0; node < PROPOSERS; node++) {
            EjectionState state = system.nodeStates().get(node);
            List<EjectionEffect> effects = new ArrayList<>(system.pendingCalls().get(node));
            // Node 2 starts no new change, which bounds the number of interleavings.
            if (effects.isEmpty() && node < 2) {
                state =
                        applyEvent(
                                state,
                                new EjectionEvent.RecordReceived(
                                        system.storedRecord(), system.storedVersion()),
                                effects);
                state = tick(tick(state, effects), effects);
            }
            nodeStates.add(state);
            pendingCalls.add(effects);
        }
        return new SystemState(
                system.storedRecord(),
                system.storedVersion(),
                nodeStates,
                pendingCalls,
                system.answerLost(),
                phase,
                system.violations());
    }

    private EjectionState tick(EjectionState state, List<EjectionEffect> effects) {
        return applyEvent(state, new EjectionEvent.Tick(state.nowMillis() + 1_000, 1), effects);
    }

    /** Executes the next call of a node; its answer may be lost. */
    private SystemState execute(SystemState system, int node, boolean loseAnswer) {
        List<EjectionEffect> effects = new ArrayList<>(system.pendingCalls().get(node));
        EjectionEffect effect = effects.remove(0);
        EjectionRecord storedRecord = system.storedRecord();
        long storedVersion = system.storedVersion();
        Violations violations = system.violations();
        EjectionEvent answer;
        if (effect
                instanceof
                EjectionEffect.WriteRecord(EjectionRecord written, long expectedVersion)) {
            if (conditionalWrites && expectedVersion != storedVersion) {
                answer = new EjectionEvent.WriteConflicted(SERVICE);
            } else {
                violations = violationsAfter(system, written);
                storedRecord = written;
                storedVersion++;
                answer = new EjectionEvent.WriteSucceeded(storedRecord, storedVersion);
            }
            answer = loseAnswer ? new EjectionEvent.AnswerLost(SERVICE) : answer;
        } else {
            answer = new EjectionEvent.RecordRead(storedRecord, storedVersion, 0);
        }
        List<EjectionState> nodeStates = new ArrayList<>(system.nodeStates());
        nodeStates.set(node, applyEvent(system.nodeStates().get(node), answer, effects));
        List<List<EjectionEffect>> pendingCalls = new ArrayList<>(system.pendingCalls());
        pendingCalls.set(node, effects);
        List<Boolean> answerLost = new ArrayList<>(system.answerLost());
        answerLost.set(node, answerLost.get(node) || loseAnswer);
        return new SystemState(
                storedRecord,
                storedVersion,
                nodeStates,
                pendingCalls,
                answerLost,
                system.phase(),
                violations);
    }

    private Violations violationsAfter(SystemState system, EjectionRecord written) {
        Violations before = system.violations();
        boolean holds = floorHolds(system, written);
        // A change computed before the drain may be written after it and is corrected at once.
        boolean tolerated =
                system.phase() != Phase.BEFORE_DRAIN && withDrain && !before.floorRestored();
        boolean floorRestored =
                before.floorRestored()
                        || withDrain && system.phase() != Phase.BEFORE_DRAIN && holds;
        return new Violations(
                floorRestored,
                before.floorViolated() || !holds && !tolerated,
                before.ejectionLost() || removesEjection(system.storedRecord(), written));
    }

    /**
     * Whether a write removes an ejected target. Readmission, also that to restore the floor,
     * changes the stage of its entry first.
     */
    private static boolean removesEjection(EjectionRecord before, EjectionRecord after) {
        return before.targets().stream()
                .filter(entry -> entry.stage() == Stage.EJECTED)
                .map(EjectedTarget::target)
                .anyMatch(target -> after.find(target).isEmpty());
    }
}
