package org.azureshed.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.azureshed.watch.WatchModel.Step;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the decisions of a watch, and how long fleets of several sizes take. */
class StoreWatchTest {
    private static final FleetPosition FIRST_OF_35 = new FleetPosition(0, 35);

    /**
     * Guards against a fleet that waits for lost answers: all nodes, the answers to waiting watches
     * or all answers for some seconds.
     */
    @ParameterizedTest(name = "{0} nodes, loss of {1} ms, change after {2} ms")
    @CsvSource({
        "3, 500, 0", "35, 500, 0", "113, 500, 0",
        "3, 4300, 0", "35, 4300, 0", "113, 4300, 0",
        "3, 4300, 3900", "35, 4300, 3900", "113, 4300, 3900",
    })
    void lostAnswersAreMadeUpForInTime(int nodes, long lossMillis, long changeMillis) {
        for (int seed = 0; seed < 100; seed++) {
            WatchModel model = new WatchModel(nodes, WatchTiming.STANDARD, true, seed);
            model.play(new Step.Pass(60_000));
            model.play(new Step.LoseAnswers(100, lossMillis));
            model.play(new Step.Pass(changeMillis));
            model.play(new Step.Change());
            model.play(new Step.Pass(lossMillis - changeMillis));
            long millis = model.millisUntilInForce(60_000);
            assertTrue(millis <= WatchModel.IN_FORCE_MILLIS, seed + ": " + millis);
        }
    }

    /** Guards against a word to other nodes that large fleets could do without. */
    @ParameterizedTest
    @ValueSource(ints = {35, 113})
    void withoutWordOfOtherNodesLargeFleetsTakeTooLong(int nodes) {
        WatchModel model = new WatchModel(nodes, WatchTiming.STANDARD, false, 1);
        model.play(new Step.LoseAnswers(100, 500));
        model.play(new Step.Change());
        assertTrue(model.millisUntilInForce(60_000) > WatchModel.IN_FORCE_MILLIS);
    }

    /** Guards against a node that asks the store again and again for a version that nobody has. */
    @ParameterizedTest
    @ValueSource(longs = {2, Long.MAX_VALUE})
    void claimOfAVersionThatTheStoreLacksEndsWithTheNextListing(long claimed) {
        StoreWatch watch = watchingVersion(1);
        watch.handle(new WatchEvent.KnownElsewhere(claimed), FIRST_OF_35, nanos(1_100));
        List<WatchEffect> listing =
                watch.handle(new WatchEvent.TimerFired(), FIRST_OF_35, nanos(1_300));
        assertTrue(listing.contains(new WatchEffect.ListNow(3)), listing::toString);
        List<WatchEffect> next =
                watch.handle(new WatchEvent.Listed(3, 10, 1), FIRST_OF_35, nanos(1_310));
        assertEquals(new WatchEffect.WatchNow(4, 10, 290), next.getFirst());
        assertEquals(new WatchEffect.SetTimer(nanos(1_310 + 290 + 400)), next.get(1));
    }

    /** Guards against a word of a version that nobody has, which nodes pass on for ever. */
    @ParameterizedTest
    @ValueSource(longs = {2, Long.MAX_VALUE})
    void refutedClaimIsNotPassedOnAgain(long claimed) {
        StoreWatch watch = watchingVersion(1);
        assertTrue(
                watch.handle(new WatchEvent.KnownElsewhere(claimed), FIRST_OF_35, nanos(1_100))
                        .contains(new WatchEffect.TellNodes(claimed)));
        watch.handle(new WatchEvent.TimerFired(), FIRST_OF_35, nanos(1_300));
        watch.handle(new WatchEvent.Listed(3, 10, 1), FIRST_OF_35, nanos(1_310));
        assertEquals(
                List.of(),
                watch.handle(new WatchEvent.KnownElsewhere(claimed), FIRST_OF_35, nanos(1_400)));
    }

    /** Guards against a listing for each change that a node hears of before the store tells it. */
    @ParameterizedTest
    @ValueSource(longs = {0, 149})
    void answerOfTheStoreWithinThePatienceNeedsNoListing(long millis) {
        StoreWatch watch = watchingVersion(1);
        watch.handle(new WatchEvent.KnownElsewhere(2), FIRST_OF_35, nanos(1_100));
        List<WatchEffect> effects =
                watch.handle(
                        new WatchEvent.Watched(2, 11, true, 2), FIRST_OF_35, nanos(1_100 + millis));
        assertEquals(List.of(new WatchEffect.SetTimer(nanos(1_400 + millis))), effects);
    }

    /** Guards against a slow store whose answers are never used, because each is a little late. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void answerToAnEarlierListingCounts(long answeredCall) {
        StoreWatch watch = new StoreWatch(WatchTiming.STANDARD, () -> 0.5);
        watch.handle(new WatchEvent.Started(), FIRST_OF_35, 0);
        watch.handle(new WatchEvent.TimerFired(), FIRST_OF_35, nanos(500));
        watch.handle(new WatchEvent.TimerFired(), FIRST_OF_35, nanos(600));
        watch.handle(new WatchEvent.Listed(answeredCall, 10, 1), FIRST_OF_35, nanos(700));
        List<WatchEffect> effects =
                watch.handle(new WatchEvent.TimerFired(), FIRST_OF_35, nanos(1_100));
        assertTrue(effects.contains(new WatchEffect.WatchNow(3, 10, 100)), effects::toString);
    }

    private static StoreWatch watchingVersion(long version) {
        StoreWatch watch = new StoreWatch(WatchTiming.STANDARD, () -> 0.5);
        watch.handle(new WatchEvent.Started(), FIRST_OF_35, 0);
        watch.handle(new WatchEvent.Listed(1, 10, version), FIRST_OF_35, nanos(0));
        watch.handle(new WatchEvent.TimerFired(), FIRST_OF_35, nanos(1_000));
        return watch;
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
