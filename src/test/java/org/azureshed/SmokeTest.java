package org.azureshed;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a build that runs no test. */
class SmokeTest {
    @Test
    void runsOnRequiredJava() {
        assertTrue(Runtime.version().feature() >= 25);
    }
}
