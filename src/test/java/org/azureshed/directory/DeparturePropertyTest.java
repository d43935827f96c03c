package org.azureshed.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BinaryOperator;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
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
                        Tuple.of(2, DepartureModel.Step.RESTART_ALL),
                        Tuple.of(2, DepartureModel.Step.STORE_AWAY),
                        Tuple.of(2, DepartureModel.Step.STORE_BACK),
                        Tuple.of(3, DepartureModel.Step.READ_STORE),
                        Tuple.of(1, DepartureModel.Step.FORMER_WAIT_OVER),
                        Tuple.of(2, DepartureModel.Step.HOLD_WRITE),
                        Tuple.of(2, DepartureModel.Step.DO_LATE_WRITE),
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
            assertFalse(model.storeHasLostADeparture(), () -> history + " at " + step);
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
                        DepartureModel.Step.SEND_TO_FIRST,
                        DepartureModel.Step.RESTART,
                        DepartureModel.Step.STORE_BACK,
                        DepartureModel.Step.READ_STORE,
                        DepartureModel.Step.SEND_TO_SECOND,
                        DepartureModel.Step.EXCHANGE_OF_OTHERS));
    }

    /** A write of the node's entry is done late, after the one that stored the departure. */
    @Example
    void lateWriteDoesNotUndoADeparture() {
        departedStartIsNeverUsedAgain(
                List.of(
                        DepartureModel.Step.HOLD_WRITE,
                        DepartureModel.Step.HEARTBEAT,
                        DepartureModel.Step.DEREGISTER,
                        DepartureModel.Step.DO_LATE_WRITE,
                        DepartureModel.Step.RESTART_ALL,
                        DepartureModel.Step.READ_STORE));
    }

    /** The former process's departure is stored late, between the new one's read and its write. */
    @Example
    void departureThatIsStoredLateIsKept() {
        departedStartIsNeverUsedAgain(
                List.of(
                        DepartureModel.Step.HEARTBEAT,
                        DepartureModel.Step.HOLD_HEARTBEAT,
                        DepartureModel.Step.HOLD_WRITE,
                        DepartureModel.Step.DEREGISTER,
                        DepartureModel.Step.RESTART,
                        DepartureModel.Step.HOLD_WRITE,
                        DepartureModel.Step.READ_STORE,
                        DepartureModel.Step.DO_LATE_WRITE,
                        DepartureModel.Step.STORE_BACK,
                        DepartureModel.Step.DELIVER_LATE_HEARTBEAT));
    }

    /** A departure is acknowledged while the store is away, and all processes end. */
    @Example
    void departureThatNothingRemembersHolds() {
        departedStartIsNeverUsedAgain(
                List.of(
                        DepartureModel.Step.HEARTBEAT,
                        DepartureModel.Step.STORE_AWAY,
                        DepartureModel.Step.DEREGISTER,
                        DepartureModel.Step.RESTART_ALL,
                        DepartureModel.Step.STORE_BACK,
                        DepartureModel.Step.READ_STORE));
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

    /** Few ids, so that one id has several starts, or more ids than are kept. */
    @Provide
    Arbitrary<List<Departure>> departures() {
        Arbitrary<Integer> idCounts = Arbitraries.of(2, 5, Departures.MAX_SIZE + 20);
        return idCounts.flatMap(
                ids ->
                        Combinators.combine(
                                        Arbitraries.integers().between(1, ids).map(i -> "i-" + i),
                                        Arbitraries.longs().between(1, 3L * ids))
                                .as(Departure::new)
                                .list()
                                .ofMaxSize(2 * ids));
    }

    /** Guards against an older start of an id that replaces a newer one: a forgotten departure. */
    @Property
    void departureIsForgottenOnlyBySize(
            @ForAll("departures") List<Departure> first,
            @ForAll("departures") List<Departure> second) {
        List<Departure> all = new ArrayList<>(first);
        all.addAll(second);
        Departures union = gather(first).union(gather(second));
        assertEquals(lastStarts(all), union.lastStarts());
        assertEquals(union, gather(all));
        for (Departure departure : all) {
            boolean kept = union.covers(departure.id(), departure.start());
            assertTrue(kept || union.lastStarts().size() == Departures.MAX_SIZE, all::toString);
        }
    }

    /** Guards against sets that differ between nodes, as each hears the news in its own order. */
    @Property
    void unionDoesNotDependOnOrderGroupingOrRepetition(
            @ForAll("departures") List<Departure> first,
            @ForAll("departures") List<Departure> second,
            @ForAll("departures") List<Departure> third) {
        Departures a = gather(first);
        Departures b = gather(second);
        Departures c = gather(third);
        assertEquals(a.union(b), b.union(a));
        assertEquals(a.union(b).union(c), a.union(b.union(c)));
        assertEquals(a, a.union(a));
        assertEquals(a.union(b), a.union(b).union(b));
        assertEquals(a, a.union(Departures.NONE));
        assertEquals(a, Departures.NONE.union(a));
        boolean unchanged = a.union(b).equals(a);
        assertTrue(unchanged || !a.containsAll(b));
        // A full set forgets older departures, so that it may be unchanged without having them.
        assertTrue(a.containsAll(b) || !unchanged || a.lastStarts().size() == Departures.MAX_SIZE);
    }

    /** Guards against a restart's news of an id that ends the departure of its latest start. */
    @Example
    void olderStartDoesNotReplaceANewerOne() {
        // The other id makes the union differ from both sets.
        Departures newer = Departures.NONE.with("a", 5);
        Departures older = Departures.NONE.with("a", 4).with("b", 1);
        assertEquals(Map.of("a", 5L, "b", 1L), newer.union(older).lastStarts());
        assertEquals(Map.of("a", 5L, "b", 1L), older.union(newer).lastStarts());
    }

    private static Departures gather(List<Departure> departures) {
        Departures gathered = Departures.NONE;
        for (Departure departure : departures) {
            gathered = gathered.with(departure.id(), departure.start());
        }
        return gathered;
    }

    /** The last start of each id; of too many ids those with the latest starts. */
    private static Map<String, Long> lastStarts(List<Departure> departures) {
        Map<String, Long> last =
                departures.stream()
                        .collect(
                                Collectors.toMap(
                                        Departure::id,
                                        Departure::start,
                                        BinaryOperator.maxBy(Comparator.naturalOrder())));
        return last.entrySet().stream()
                .sorted(
                        Comparator.comparing((Map.Entry<String, Long> entry) -> -entry.getValue())
                                .thenComparing(Map.Entry::getKey))
                .limit(Departures.MAX_SIZE)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    private record Departure(String id, long start) {}

    @Example
    void anotherTargetAtTheSameAddressIsNotCovered() {
        Departures departures = Departures.NONE.with("a", 5);
        assertTrue(departures.covers("a", 4));
        assertFalse(departures.covers("a", 6));
        assertFalse(departures.covers("b", 5));
    }
}
