package org.azureshed.watch;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.azureshed.watch.WatchModel.Step;

/**
 * Plays a fleet against a store that loses answers, in random order. A confirmed configuration is
 * in force at every node soon after it was stored and the store answers again.
 */
class StoreWatchPropertyTest {
    /** The time limits before nodes took turns: one long wait, and no word to other nodes. */
    private static final WatchTiming ONE_LONG_WAIT =
            new WatchTiming(
                    30_000, 30_000, 30_000, 30_000, 300, 0, 1_500, 30_000, 100, 1_600, 1_600);

    private static final List<Integer> SIZES = List.of(1, 2, 3, 7, 35, 113);

    @Provide
    Arbitrary<List<Step>> histories() {
        Arbitrary<Integer> shares = Arbitraries.of(5, 30, 70, 100);
        Arbitrary<Long> lengths = Arbitraries.longs().between(20, 5_000);
        return Arbitraries.<Step>frequencyOf(
                        weighted(6, Arbitraries.longs().between(1, 3_000).map(Step.Pass::new)),
                        weighted(6, Arbitraries.just(new Step.Change())),
                        weighted(5, Combinators.combine(shares, lengths).as(Step.LoseAnswers::new)),
                        weighted(2, Combinators.combine(shares, lengths).as(Step.Refuse::new)),
                        weighted(2, lengths.map(Step.Silence::new)),
                        weighted(1, lengths.map(Step.Slow::new)),
                        weighted(2, shares.map(Step.StallIdle::new)),
                        weighted(2, Arbitraries.just(new Step.DropHistory())),
                        weighted(1, shares.map(Step.Kill::new)),
                        weighted(4, Arbitraries.just(new Step.Check())))
                .list()
                .ofMinSize(1)
                .ofMaxSize(25);
    }

    private static Tuple.Tuple2<Integer, Arbitrary<? extends Step>> weighted(
            int weight, Arbitrary<? extends Step> steps) {
        return Tuple.of(weight, steps);
    }

    @Provide
    Arbitrary<Integer> sizes() {
        return Arbitraries.of(SIZES);
    }

    /**
     * Guards against nodes that do not learn of a change because an answer of the store was lost.
     */
    @Property
    void changeIsInForceSoonAfterTheTrouble(
            @ForAll("histories") List<Step> history, @ForAll("sizes") int size, @ForAll long seed) {
        WatchModel model = new WatchModel(size, WatchTiming.STANDARD, true, seed);
        history.forEach(model::play);
        model.play(new Step.Check());
    }

    /**
     * Shows that the model finds the fault: with one long wait, a lost answer is not made up for.
     */
    @Example
    void oneLongWaitIsFound() {
        for (int size : SIZES) {
            WatchModel model = new WatchModel(size, ONE_LONG_WAIT, false, 1);
            model.play(new Step.LoseAnswers(100, 500));
            model.play(new Step.Change());
            assertThrows(AssertionError.class, () -> model.play(new Step.Check()));
            assertTrue(model.millisUntilInForce(60_000) > 20_000, "size " + size);
        }
    }

    /** Guards against a watch whose calls grow with the fleet. */
    @Example
    void quietFleetMakesFewCalls() {
        for (int size : SIZES) {
            WatchModel model = new WatchModel(size, WatchTiming.STANDARD, true, 1);
            model.pass(60_000);
            int before = model.calls();
            model.pass(60_000);
            double callsPerSecond = (model.calls() - before) / 60.0;
            double expected = size >= 60 ? size / 30.0 : 2;
            assertTrue(callsPerSecond <= expected * 1.1, size + ": " + callsPerSecond);
        }
    }
}
