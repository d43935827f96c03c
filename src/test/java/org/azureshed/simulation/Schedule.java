package org.azureshed.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What happens in one simulation, beside the requests of callers.
 *
 * @param seed draws the requests
 * @param steps in the order of their times
 */
record Schedule(long seed, List<Step> steps) {
    /** Time at which requests begin; until then the fleet starts undisturbed. */
    static final long TRAFFIC_MILLIS = 4_000;

    /** Time of the last step. */
    static final long STEPS_END_MILLIS = 12_000;

    /** Longest time for which a target that has left serves beyond its drain time. */
    private static final long MAX_SERVING_MILLIS = 6_000;

    private static final int MIN_STEPS = 3;
    private static final int MAX_STEPS = 14;

    /** One in some actions is at any node, the others at one node of the schedule. */
    private static final int ANY_NODE_ONE_IN = 3;

    /** One in some steps follows shortly after the one before. */
    private static final int CLOSE_ONE_IN = 2;

    private static final long CLOSE_MILLIS = 700;

    /** Kinds of actions. */
    private enum Kind {
        KILL,
        KILL_ALL,
        TERMINATE,
        FREEZE,
        STEP_CLOCK,
        CUT,
        RESET_LINK,
        STORE_FAILURE,
        DROP_HISTORY,
        PUBLISH,
        MISBEHAVE,
        CRASH,
        LEAVE,
        LATE_HEARTBEAT,
        CHANGE_SERVICE,
        CALLERS_LEAVE,
        CALLERS_TRICKLE,
        CALLERS_READ_LATE
    }

    /**
     * What a schedule is about. With few kinds of actions, the same ones meet more often; one of
     * the themes has all.
     */
    private static final List<List<Kind>> THEMES =
            List.of(
                    List.of(Kind.values()),
                    List.of(
                            Kind.LEAVE,
                            Kind.LEAVE,
                            Kind.LATE_HEARTBEAT,
                            Kind.KILL,
                            Kind.KILL_ALL,
                            Kind.TERMINATE,
                            Kind.STORE_FAILURE,
                            Kind.CRASH,
                            Kind.STEP_CLOCK),
                    List.of(
                            Kind.PUBLISH,
                            Kind.PUBLISH,
                            Kind.STORE_FAILURE,
                            Kind.STORE_FAILURE,
                            Kind.DROP_HISTORY,
                            Kind.CUT,
                            Kind.FREEZE,
                            Kind.KILL),
                    List.of(
                            Kind.MISBEHAVE,
                            Kind.MISBEHAVE,
                            Kind.MISBEHAVE,
                            Kind.CRASH,
                            Kind.TERMINATE,
                            Kind.RESET_LINK,
                            Kind.CUT,
                            Kind.CHANGE_SERVICE,
                            Kind.CALLERS_LEAVE,
                            Kind.CALLERS_TRICKLE,
                            Kind.CALLERS_READ_LATE));

    /**
     * Something that happens.
     *
     * @param atMillis time since the start of the simulation
     */
    record Step(long atMillis, Action action) {}

    /** Draws a schedule. */
    static Schedule generate(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int count = random.nextInt(MIN_STEPS, MAX_STEPS + 1);
        List<Kind> kinds = THEMES.get(random.nextInt(THEMES.size()));
        int mainNode = random.nextInt(FleetSimulation.NODES);
        List<Step> steps = new ArrayList<>();
        long atMillis = TRAFFIC_MILLIS;
        for (int i = 0; i < count; i++) {
            boolean close = i > 0 && random.nextInt(CLOSE_ONE_IN) == 0;
            atMillis =
                    close
                            ? Math.min(STEPS_END_MILLIS, atMillis + random.nextLong(CLOSE_MILLIS))
                            : random.nextLong(TRAFFIC_MILLIS, STEPS_END_MILLIS);
            steps.add(
                    new Step(
                            atMillis,
                            action(kinds.get(random.nextInt(kinds.size())), mainNode, random)));
        }
        steps.sort(Comparator.comparingLong(Step::atMillis));
        return new Schedule(seed, List.copyOf(steps));
    }

    private static Action action(Kind kind, int mainNode, SplittableRandom random) {
        boolean any = random.nextInt(ANY_NODE_ONE_IN) == 0;
        int node = any ? random.nextInt(FleetSimulation.NODES) : mainNode;
        int other = (node + 1 + random.nextInt(FleetSimulation.NODES - 1)) % FleetSimulation.NODES;
        int otherOrStore = random.nextInt(3) == 0 ? Action.ALL : other;
        int nodeOrAll = random.nextInt(3) == 0 ? node : Action.ALL;
        boolean coin = random.nextBoolean();
        long shortMillis = random.nextLong(50, 1_500);
        long longMillis = random.nextLong(500, 5_000);
        return switch (kind) {
            case KILL -> new Action.Kill(node, shortMillis);
            case KILL_ALL -> new Action.Kill(Action.ALL, 1_000 + random.nextLong(400));
            case TERMINATE -> new Action.Terminate(node);
            case FREEZE -> new Action.Freeze(node, longMillis);
            case STEP_CLOCK -> new Action.StepClock(node, random.nextLong(-20_000, 20_000));
            case CUT -> new Action.Cut(node, otherOrStore, coin, longMillis);
            case RESET_LINK -> new Action.ResetLink(node, otherOrStore);
            case STORE_FAILURE -> {
                StoreParty.Fault fault = pick(random, StoreParty.Fault.values());
                yield new Action.StoreFailure(fault, nodeOrAll, longMillis);
            }
            case DROP_HISTORY -> new Action.DropHistory();
            case PUBLISH -> new Action.Publish();
            case MISBEHAVE -> {
                Action.Answering answering = pick(random, Action.Answering.values());
                yield new Action.Misbehave(node, answering, random.nextInt(1, 5), longMillis);
            }
            case CRASH -> new Action.Crash(node, shortMillis, coin);
            case LEAVE -> {
                Action.Leaving leaving = pick(random, Action.Leaving.values());
                yield new Action.Leave(node, leaving, random.nextLong(MAX_SERVING_MILLIS), coin);
            }
            case LATE_HEARTBEAT -> new Action.LateHeartbeat(node, longMillis);
            case CHANGE_SERVICE -> new Action.ChangeService(node, coin);
            case CALLERS_LEAVE -> new Action.CallersLeave(node, random.nextLong(1, 60), longMillis);
            case CALLERS_TRICKLE ->
                    new Action.CallersTrickle(node, random.nextInt(1, 400), longMillis);
            case CALLERS_READ_LATE ->
                    new Action.CallersReadLate(node, random.nextLong(1, 200), longMillis);
        };
    }

    private static <T> T pick(SplittableRandom random, T[] values) {
        return values[random.nextInt(values.length)];
    }
}
