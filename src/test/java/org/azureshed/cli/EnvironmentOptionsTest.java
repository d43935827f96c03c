package org.azureshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.builder.CliBuilder;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against environment variables that override or corrupt the command line. */
class EnvironmentOptionsTest {
    /** A command with a flag. */
    @Command(name = "flagged")
    public static final class FlaggedCommand implements Callable<Integer> {
        @Option(name = "--dry-run")
        private boolean dryRun;

        @Override
        public Integer call() {
            return dryRun ? 1 : 0;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "preset list, PLATFORM=http://a:1, preset list --platform http://a:1",
        "preset list --platform http://b:1, PLATFORM=http://a:1, "
                + "preset list --platform http://b:1",
        "preset list --platform=http://b:1, PLATFORM=http://a:1, "
                + "preset list --platform=http://b:1",
        "preset list, PLATFORM=, preset list",
        "preset list, PORT=7, preset list",
        "preset use peak --reason x, NODE=http://a:1;http://b:1, "
                + "preset use --node http://a:1 --node http://b:1 peak --reason x",
        "preset put, IF_REVISION=3, preset put --if-revision 3",
        "platform-standin, PORT=7, platform-standin --port 7",
        "flagged, DRY_RUN=true, flagged --dry-run",
        "flagged, DRY_RUN=false, flagged",
        "unknown, PORT=7, unknown",
        "preset, PLATFORM=http://a:1, preset",
        "'', PORT=7, ''",
    })
    void addsMissingOptions(String line, String variable, String expected) {
        assertEquals(expected, expand(line, variable.replace(';', ',')));
    }

    @Test
    void refusesAFlagThatIsNeitherTrueNorFalse() {
        assertThrows(IllegalArgumentException.class, () -> expand("flagged", "DRY_RUN=maybe"));
    }

    @SuppressWarnings("rawtypes")
    private static String expand(String line, String variable) {
        CliBuilder<Callable> builder = Cli.builder("azureshed");
        Commands.addTo(builder);
        builder.withCommand(FlaggedCommand.class);
        Map<String, String> environment = new HashMap<>();
        String[] parts = variable.split("=", 2);
        environment.put("AZURESHED_" + parts[0], parts[1]);
        String[] args = line.isEmpty() ? new String[0] : line.split(" ");
        return String.join(
                " ", EnvironmentOptions.expand(builder.build().getMetadata(), args, environment));
    }
}
