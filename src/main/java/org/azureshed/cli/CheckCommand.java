package org.azureshed.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.azureshed.preset.PresetChunks;

/** Checks a preset file without a platform. */
@Command(name = "check", description = "Checks a preset file without calling the platform")
public final class CheckCommand implements Callable<Integer> {
    @Required
    @Option(name = "--preset", description = "the preset file")
    private String file;

    @Override
    public Integer call() {
        return CommandResult.report(
                PresetFiles.read(Path.of(file))
                        .flatMap(preset -> PresetChunks.split(preset).map(chunks -> preset)),
                preset ->
                        System.out.printf(
                                "%s: preset \"%s\" is valid: %d services, %d classes, %d routes, %d"
                                        + " organisations%n",
                                file,
                                preset.name(),
                                preset.services().size(),
                                preset.classes().size(),
                                preset.routes().size(),
                                preset.organisations().size()));
    }
}
