package org.azureshed.cli;

import com.github.rvesse.airline.builder.CliBuilder;
import java.util.concurrent.Callable;

/** Registers the operator commands and the platform stand-in. */
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
                .withDescription("Manages presets and the preset in force")
                .withCommand(PresetListCommand.class)
                .withCommand(PresetShowCommand.class)
                .withCommand(PresetPutCommand.class)
                .withCommand(PresetUseCommand.class)
                .withCommand(PresetHistoryCommand.class);
    }
}
