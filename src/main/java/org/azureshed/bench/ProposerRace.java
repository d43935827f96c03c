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
 * Runs three proposers against one record in every order of their reads and writes and counts the
 * orders that break a rule.
 *
 * <p>Each proposer has found another target to be slow, and the floor allows two ejections; the
 * answer to one write of each may be lost. In the second variant two targets start to drain at any
 * moment, so that an ejected target has to be readmitted while the proposers are at work.
 */
final class ProposerRace {
    private static final String SERVICE = "service";
    private static final int PROPOSERS = 3;
    private static final int TARGETS = 8;
    private static final int SLOTS = 4;
    private static final int FLOOR_PERCENT = 70;
    private static final long WARM_MILLIS = 40_000;

    /** Counts of a search. */
    record Result(long orders, long floorBroken, long ejectionsLost) {}

    /** State between two steps; every part of it is immutable. */
    private record World(
            EjectionRecord stored,
            long version,
            List<EjectionState> nodes,
            List<List<EjectionEffect>> pending,
            List<Boolean> answerLost,
            Phase phase,
            Faults faults) {}

    /** How far the drain has come. */
    private enum Phase {
        BEFORE_DRAIN,
        DRAINED,
        /** All proposals ended and every node looked at the record once more. */
        SETTLED
    }

    /**
     * What went wrong so far.
     *
     * @param restored whether a version that keeps the floor was written after the drain
     * @param floorBroken whether a later version broke it again, or an earlier one broke it
     * @param ejectionLost whether an ejected target left the record without readmission
     */
    private record Faults(boolean restored, boolean floorBroken, boolean ejectionLost) {}

    private final EjectionReducer reducer = new EjectionReducer();
    private final boolean conditional;
    private final boolean withDrain;
    private long orders;
    private long floorBroken;
    private long ejectionsLost;

    /**
     * Prepares a search.
     *
     * @param conditional false lets writes ignore the version, which must break the rules
     * @param withDrain whether two targets start to drain at any moment
     */
    ProposerRace(boolean conditional, boolean withDrain) {
        this.conditional = conditional;
        this.withDrain = withDrain;
    }

    Result search() {
        explore(initial());
        return new Result(orders, floorBroken, ejectionsLost);
    }

    private World initial() {
        List<EjectionState> nodes = new ArrayList<>();
        List<List<EjectionEffect>> pending = new ArrayList<>();
        List<Boolean> lost = new ArrayList<>();
        for (int node = 0; node < PROPOSERS; node++) {
            EjectionState state = EjectionState.initial(new NodeId("node-" + node));
            List<EjectionEffect> effects = new ArrayList<>();
            state = reduce(state, seen(false), effects);
            long now = WARM_MILLIS;
            while (effects.isEmpty()) {
                state = reduce(state, new EjectionEvent.Tick(now, 1), effects);
                for (int target = 0; target < TARGETS; target++) {
                    state = reduce(state, digest(target, target == node, now), effects);
                }
                now += 1_000;
            }
            nodes.add(state);
            pending.add(effects);
            lost.add(false);
        }
        return new World(
                EjectionRecord.empty(SERVICE),
                0,
                nodes,
                pending,
                lost,
                withDrain ? Phase.BEFORE_DRAIN : Phase.SETTLED,
                new Faults(false, false, false));
    }

    private static EjectionEvent seen(boolean drained) {
        return new EjectionEvent.ServiceUpdated(SERVICE, FLOOR_PERCENT, PROPOSERS, views(drained));
    }

    private static List<TargetView> views(boolean drained) {
        List<TargetView> views = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            boolean ready = !drained || i < TARGETS - 2;
            views.add(new TargetView(new TargetId("t" + i), new NodeId("host"), SLOTS, ready));
        }
        return views;
    }

    private static EjectionEvent digest(int target, boolean slow, long nowMillis) {
        long micros = (slow ? 500_000 : 50_000) + target;
        ClassDigest digest =
                new ClassDigest("page", 40, 0, 40, micros, micros * 3 / 2, micros * 2, 1_000);
        return new EjectionEvent.DigestReceived(
                SERVICE, new TargetId("t" + target), new TargetDigest(nowMillis, List.of(digest)));
    }

    private EjectionState reduce(
            EjectionState state, EjectionEvent event, List<EjectionEffect> effects) {
        Step<EjectionState, EjectionEffect> step = reducer.reduce(state, event);
        for (EjectionEffect effect : step.effects()) {
            boolean call =
                    effect instanceof EjectionEffect.ReadRecord
                            || effect instanceof EjectionEffect.WriteRecord;
            if (call) {
                effects.add(effect);
            }
        }
        return step.state();
    }

    private void explore(World world) {
        boolean quiet = true;
        for (int node = 0; node < PROPOSERS; node++) {
            if (!world.pending().get(node).isEmpty()) {
                quiet = false;
                explore(carryOut(world, node, false));
                boolean write =
                        world.pending().get(node).get(0) instanceof EjectionEffect.WriteRecord;
                if (write && !withDrain && !world.answerLost().get(node)) {
                    explore(carryOut(world, node, true));
                }
            }
        }
        if (world.phase() == Phase.BEFORE_DRAIN) {
            explore(drain(world));
        } else if (quiet && world.phase() == Phase.DRAINED) {
            explore(settle(world, Phase.SETTLED));
        } else if (quiet) {
            orders++;
            boolean broken = world.faults().floorBroken() || !floorHolds(world, world.stored());
            floorBroken += broken ? 1 : 0;
            ejectionsLost += world.faults().ejectionLost() ? 1 : 0;
        }
    }

    private boolean floorHolds(World world, EjectionRecord record) {
        boolean drained = withDrain && world.phase() != Phase.BEFORE_DRAIN;
        return new FloorCheck(views(drained), FLOOR_PERCENT).holds(record);
    }

    /** Two targets drain, and every node without a change under way looks at the record again. */
    private World drain(World world) {
        List<EjectionState> nodes = new ArrayList<>();
        List<List<EjectionEffect>> pending = new ArrayList<>();
        for (int node = 0; node < PROPOSERS; node++) {
            List<EjectionEffect> effects = new ArrayList<>(world.pending().get(node));
            EjectionState state = reduce(world.nodes().get(node), seen(true), effects);
            nodes.add(state);
            pending.add(effects);
        }
        return settle(
                new World(
                        world.stored(),
                        world.version(),
                        nodes,
                        pending,
                        world.answerLost(),
                        Phase.DRAINED,
                        world.faults()),
                Phase.DRAINED);
    }

    /** Idle nodes hear the record and start a change if one is wanted. */
    private World settle(World world, Phase phase) {
        List<EjectionState> nodes = new ArrayList<>();
        List<List<EjectionEffect>> pending = new ArrayList<>();
        for (int node = 0; node < PROPOSERS; node++) {
            EjectionState state = world.nodes().get(node);
            List<EjectionEffect> effects = new ArrayList<>(world.pending().get(node));
            // Node 2 only finishes what it has begun, which keeps the search small.
            if (effects.isEmpty() && node < 2) {
                state =
                        reduce(
                                state,
                                new EjectionEvent.RecordReceived(world.stored(), world.version()),
                                effects);
                state = tick(tick(state, effects), effects);
            }
            nodes.add(state);
            pending.add(effects);
        }
        return new World(
                world.stored(),
                world.version(),
                nodes,
                pending,
                world.answerLost(),
                phase,
                world.faults());
    }

    private EjectionState tick(EjectionState state, List<EjectionEffect> effects) {
        return reduce(state, new EjectionEvent.Tick(state.nowMillis() + 1_000, 1), effects);
    }

    private World carryOut(World world, int node, boolean loseAnswer) {
        List<EjectionEffect> effects = new ArrayList<>(world.pending().get(node));
        EjectionEffect effect = effects.remove(0);
        EjectionRecord stored = world.stored();
        long version = world.version();
        Faults faults = world.faults();
        EjectionEvent answer;
        if (effect instanceof EjectionEffect.WriteRecord(EjectionRecord next, long expected)) {
            if (conditional && expected != version) {
                answer = new EjectionEvent.WriteConflicted(SERVICE);
            } else {
                faults = faultsAfter(world, next);
                stored = next;
                version++;
                answer = new EjectionEvent.WriteSucceeded(stored, version);
            }
            answer = loseAnswer ? new EjectionEvent.AnswerLost(SERVICE) : answer;
        } else {
            answer = new EjectionEvent.RecordRead(stored, version, 0);
        }
        List<EjectionState> nodes = new ArrayList<>(world.nodes());
        nodes.set(node, reduce(world.nodes().get(node), answer, effects));
        List<List<EjectionEffect>> pending = new ArrayList<>(world.pending());
        pending.set(node, effects);
        List<Boolean> answerLost = new ArrayList<>(world.answerLost());
        answerLost.set(node, answerLost.get(node) || loseAnswer);
        return new World(stored, version, nodes, pending, answerLost, world.phase(), faults);
    }

    private Faults faultsAfter(World world, EjectionRecord next) {
        Faults old = world.faults();
        boolean holds = floorHolds(world, next);
        // A proposal decided just before the drain may still be written; it is put right at once.
        boolean excused = world.phase() != Phase.BEFORE_DRAIN && withDrain && !old.restored();
        boolean restored =
                old.restored() || withDrain && world.phase() != Phase.BEFORE_DRAIN && holds;
        return new Faults(
                restored,
                old.floorBroken() || !holds && !excused,
                old.ejectionLost() || losesEjection(world.stored(), next));
    }

    /** An ejected target may only leave the record stage by stage or to restore the floor. */
    private static boolean losesEjection(EjectionRecord before, EjectionRecord after) {
        return before.targets().stream()
                .filter(entry -> entry.stage() == Stage.EJECTED)
                .map(EjectedTarget::target)
                .anyMatch(target -> after.find(target).isEmpty());
    }
}
