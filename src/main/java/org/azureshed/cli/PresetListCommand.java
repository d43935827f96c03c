package org.azureshed.cli;

import com.github.rvesse.airline.annotations.Command;
import java.time.Instant;
import java.util.TreeMap;
import org.azureshed.preset.PresetIndex;
import org.azureshed.preset.PresetOperations;

/** Prints the preset in force and all presets with their revisions. */
@Command(name = "list", description = "Lists the presets and which one is in force")
public final class PresetListCommand extends PlatformCommand {
    @Override
    int run(PresetOperations operations) {
        return CommandResult.report(operations.list(), PresetListCommand::print);
    }

    private static void print(PresetIndex index) {
        System.out.println(
                index.inForce().isEmpty()
                        ? "no preset is in force; run azureshed preset use NAME"
                        : "in force: "
                                + index.inForce()
                                + ", activation number "
                                + index.activationNumber());
        new TreeMap<>(index.presets())
                .forEach(
                        (name, entry) ->
                                System.out.println(
                                        CommandResult.oneLine(
                                                String.format(
                                                        "%s revision %d by %s at %s: %s",
                                                        name,
                                                        entry.revision(),
                                                        entry.operator(),
                                                        Instant.ofEpochMilli(entry.timeMillis()),
                                                        entry.reason()))));
    }
}
