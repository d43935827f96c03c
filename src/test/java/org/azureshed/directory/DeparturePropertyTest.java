package org.azureshed.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/**
 * Plays heartbeats, departures, restarts and lost messages in random order. An acknowledged
 * departure holds at all nodes, whichever process learns of it and in whichever order, and a new
 * start is usable.
 */
class DeparturePropertyTest {
    @Provide
    Arbitrary<List<DepartureModel.Step>> histories() {
        return Arbitraries.frequency(
                        Tuple.of(6, DepartureModel.Step.HEARTBEAT),
                        Tuple.of(3, DepartureModel.Step.HOLD_HEARTBEAT),
                        Tuple.of(4, DepartureModel.Step.DELIVER_LATE_HEARTBEAT),
                        Tuple.of(2, DepartureModel.Step.DRAIN),
                        Tuple.of(3, DepartureModel.Step.DEREGISTER),
                        Tuple.of(2, DepartureModel.Step.DEREGISTER_WITH_START),
                        Tuple.of(2, DepartureModel.Step.NEW_START),
                        Tuple.of(1, DepartureModel.Step.NEW_TARGET),
                        Tuple.of(4, DepartureModel.Step.RESTART),
                        Tuple.of(2, DepartureModel.Step.STORE_AWAY),
                        Tuple.of(2, DepartureModel.Step.STORE_BACK),
                        Tuple.of(3, DepartureModel.Step.READ_STORE),
                        Tuple.of(3, DepartureModel.Step.SEND_TO_FIRST),
                        Tuple.of(3, DepartureModel.Step.SEND_TO_SECOND),
                        Tuple.of(3, DepartureModel.Step.EXCHANGE_WITH_FIRST),
                        Tuple.of(3, DepartureModel.Step.EXCHANGE_WITH_SECOND),
                        Tuple.of(2, DepartureModel.Step.EXCHANGE_OF_OTHERS),
                        Tuple.of(1, DepartureModel.Step.CLOCK_BACK),
                        Tuple.of(1, DepartureModel.Step.CLOCK_FORWARD))
                .list()
                .ofMaxSize(40);
    }

    @Property
    void departedStartIsNeverUsedAgain(@ForAll("histories") List<DepartureModel.Step> history) {
        DepartureModel model = new DepartureModel();
        for (DepartureModel.Step step : history) {
            model.play(step);
            assertEquals(Set.of(), model.departedStartsInUse(), () -> history + " at " + step);
        }
        model.settle();
        assertEquals(Set.of(), model.departedStartsInUse(), history::toString);
    }

    @Property
    void newStartIsUsable(@ForAll("histories") List<DepartureModel.Step> history) {
        DepartureModel model = new DepartureModel();
        history.forEach(model::play);
        model.settle();
        model.play(DepartureModel.Step.NEW_START);
        model.play(DepartureModel.Step.HEARTBEAT);
        model.settle();
        assertTrue(model.currentStartIsUsableEverywhere(), history::toString);
    }

    /**
     * A node heard of a departure, the store and the next process did not. Another node gets the
     * new entry first and the older one, with the departure, later.
     */
    @Example
    void departureInAnOlderEntryCounts() {
        departedStartIsNeverUsedAgain(
                List.of(
                        DepartureModel.Step.HEARTBEAT,
                        DepartureModel.Step.STORE_AWAY,
                        DepartureModel.Step.DEREGISTER,
                        DepartureModel.Step.RESTART,
                        DepartureModel.Step.STORE_BACK,
                        DepartureModel.Step.READ_STORE,
                        DepartureModel.Step.SEND_TO_SECOND,
                        DepartureModel.Step.EXCHANGE_OF_OTHERS));
    }

    /** The register forgets the oldest starts first, in whichever order departures arrive. */
    @Property
    void unionDoesNotDependOnTheOrder(@ForAll List<Integer> starts) {
        Departures forward = Departures.NONE;
        Departures backward = Departures.NONE;
        for (int i = 0; i < starts.size(); i++) {
            forward = forward.with("i-" + starts.get(i), starts.get(i));
            int last = starts.get(starts.size() - 1 - i);
            backward = backward.with("i-" + last, last);
        }
        assertEquals(forward, backward);
        Set<Integer> newest = new TreeSet<>(starts).descendingSet();
        int kept = 0;
        for (int start : newest) {
            assertEquals(kept++ < Departures.MAX_SIZE, forward.covers("i-" + start, start));
        }
    }

    @Example
    void anotherTargetAtTheSameAddressIsNotCovered() {
        Departures departures = Departures.NONE.with("a", 5);
        assertTrue(departures.covers("a", 4));
        assertFalse(departures.covers("a", 6));
        assertFalse(departures.covers("b", 5));
    }
}
