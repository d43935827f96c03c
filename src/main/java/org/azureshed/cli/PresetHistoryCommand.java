package org.azureshed.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Instant;
import org.azureshed.preset.PresetChange;
import org.azureshed.preset.PresetOperations;

/** Prints the last changes, one a line, newest first. */
@Command(name = "history", description = "Lists the last changes, newest first")
public final class PresetHistoryCommand extends PlatformCommand {
    @Option(name = "--limit", description = "maximum number of changes (default 50)")
    private int limit = 50;

    @Override
    int run(PresetOperations operations) {
        return CommandResult.report(
                operations.history(limit), changes -> changes.forEach(PresetHistoryCommand::print));
    }

    private static void print(PresetChange change) {
        System.out.println(
                CommandResult.oneLine(
                        String.format(
                                "%d %s %s by %s, operation %s: %s",
                                change.number(),
                                Instant.ofEpochMilli(change.timeMillis()),
                                change.summary(),
                                change.operator(),
                                change.operationId(),
                                change.reason())));
    }
}
