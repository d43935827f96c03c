package org.azureshed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards the promises to callers and targets while nodes, links, targets and the store fail in
 * series that overlap. More seeds: {@code -Dsoak.first=N -Dsoak.count=N -Dsoak.nodes=N
 * -Dsoak.seconds=N}.
 */
class SoakIT {
    private static final long FIRST = Long.getLong("soak.first", 1);
    private static final int COUNT = Integer.getInteger("soak.count", 1);
    private static final int NODES = Integer.getInteger("soak.nodes", 5);
    private static final long MILLIS = 1_000L * Integer.getInteger("soak.seconds", 10);

    /** Plays seeds one after the other and shows all broken promises at the end. */
    @Test
    void promisesHoldUnderFaults() throws Exception {
        List<String> broken = new ArrayList<>();
        for (long seed : LongStream.range(FIRST, FIRST + COUNT).toArray()) {
            broken.addAll(play(seed, NODES, MILLIS));
        }
        assertEquals(List.of(), broken);
    }

    /** Plays seeds that have failed once, with the cause. */
    @ParameterizedTest
    @CsvSource({
        "4, a node that stops ended while it read a request",
        "20, a node that stops ended while it read a request",
        "48, SIGHUP right after a start ended the process",
        "58, SIGTERM during the start of a node that then served until it was killed"
    })
    void failedSeedHolds(long seed, String cause) throws Exception {
        assertEquals(List.of(), play(seed, NODES, MILLIS), cause);
    }

    /** Plays a seed and prints a summary. */
    private static List<String> play(long seed, int nodes, long millis) throws Exception {
        SoakRun run = new SoakRun(seed, nodes, millis);
        List<String> broken = run.play();
        List<SoakJournal.Call> calls = run.journal().calls();
        long served = calls.stream().filter(call -> call.status() == 200).count();
        System.out.printf(
                "seed=%d nodes=%d calls=%d served=%d broken=%s%n",
                seed, nodes, calls.size(), served, broken);
        assertTrue(served > 0, "no request was served");
        return broken.stream().map(text -> "seed " + seed + ": " + text).toList();
    }
}
