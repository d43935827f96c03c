package org.azureshed.features;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.core.cli.Main;
import org.junit.jupiter.api.Test;

/**
 * Runs the feature files. The test starts Cucumber itself and checks its exit status, because
 * Surefire 3.5.3 neither counts the scenarios of a JUnit Platform suite nor reports their failures.
 */
class FeaturesTest {
    @Test
    void allScenariosPass() {
        byte status =
                Main.run(
                        "--glue",
                        "org.azureshed.features",
                        "--plugin",
                        "summary",
                        "--monochrome",
                        "classpath:features");
        assertEquals(0, status, "a scenario failed; see the Cucumber report on standard output");
    }
}
