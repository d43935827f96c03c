package org.azureshed.cli;

import com.github.rvesse.airline.builder.CliBuilder;
import java.util.concurrent.Callable;

/** The commands of operators, and the platform stand-in. */
public final class Commands {
    private Commands() {}

    /**
     * Adds the commands to a command line interface.
     *
     * @param builder the builder to add to
     */
    @SuppressWarnings("rawtypes")
    public static void addTo(CliBuilder<Callable> builder) {
        builder.withCommand(CheckCommand.class).withCommand(PlatformStandInCommand.class);
        builder.withGroup("preset")
                .withDescription("Presets, and which one is in force")
                .withCommand(PresetListCommand.class)
                .withCommand(PresetShowCommand.class)
                .withCommand(PresetPutCommand.class)
                .withCommand(PresetUseCommand.class)
                .withCommand(PresetHistoryCommand.class);
    }
}
