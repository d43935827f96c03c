package org.azureshed.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against several proposers that eject below the floor or undo each other's changes. */
class ProposerRaceTest {
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void floorHoldsInEveryOrder(boolean withDrain) {
        ProposerRace.Result result = new ProposerRace(true, withDrain).search();
        assertTrue(result.orders() > 1_000, "orders " + result.orders());
        assertEquals(0, result.floorBroken());
        assertEquals(0, result.ejectionsLost());
    }

    /** Shows that the search would notice a write that ignores the version. */
    @Test
    void writesWithoutConditionBreakTheRules() {
        assertTrue(new ProposerRace(false, true).search().floorBroken() > 0);
        assertTrue(new ProposerRace(false, false).search().ejectionsLost() > 0);
    }
}
