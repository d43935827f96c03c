package org.azureshed.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.azureshed.idempotency.KeyTiming;
import org.junit.jupiter.api.Test;

/** Guards against errors in the formulas, by values that are computed by hand. */
class KeyAvailabilityTest {
    private final KeyAvailability availability = new KeyAvailability(KeyTiming.STANDARD);

    @Test
    void meanGapIsTakeoverWaitPlusRefusalOfFreshKeys() {
        assertEquals(17.5 + 2 + 0.1 * 27.5, availability.meanGapSeconds(), 1e-9);
    }

    @Test
    void outageRefusedShareFollowsFromTheRateOfThreeNodes() {
        double exponent = 3 * 2_677.0 / 2_400 / 24 * 4;

        assertEquals(
                1 - (1 - Math.exp(-exponent)) / exponent,
                availability.outageRefusedShare(4, true),
                1e-9);
    }
}
