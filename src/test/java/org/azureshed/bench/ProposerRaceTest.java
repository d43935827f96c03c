package org.azureshed.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against concurrent proposals of several nodes that violate the floor or overwrite each
 * other's ejections.
 */
class ProposerRaceTest {
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void floorHoldsInEveryInterleaving(boolean withDrain) {
        ProposerRace.Result result = new ProposerRace(true, withDrain).search();
        assertTrue(result.interleavings() > 1_000, "interleavings: " + result.interleavings());
        assertEquals(0, result.floorViolations());
        assertEquals(0, result.lostEjections());
    }

    /** Checks that the search finds the violations that unconditional writes cause. */
    @Test
    void unconditionalWritesViolateTheInvariants() {
        assertTrue(new ProposerRace(false, true).search().floorViolations() > 0);
        assertTrue(new ProposerRace(false, false).search().lostEjections() > 0);
    }
}
