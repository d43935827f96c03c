package org.azureshed.features;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.core.cli.Main;
import org.junit.jupiter.api.Test;

/**
 * Runs the feature files. Surefire 3.5.3 neither counts the scenarios of a JUnit Platform suite nor
 * reports their failures, so Cucumber is started here and its exit status checked.
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
        assertEquals(0, status, "a scenario failed; its report is on standard output");
    }
}
