package org.azureshed.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.nio.file.Path;
import org.azureshed.model.Preset;
import org.azureshed.preset.PresetError;
import org.azureshed.preset.PresetOperations;

/** Stores a preset file as a new revision. If it is in force, the new content takes effect. */
@Command(
        name = "put",
        description = "Stores a preset; if it is in force, the new content comes into force")
public final class PresetPutCommand extends PresetChangeCommand {
    @Required
    @Arguments(title = "FILE", description = "the preset file")
    private String file;

    @Option(
            name = "--if-revision",
            description = "refuse unless this revision is current; 0 for a new preset")
    private Long ifRevision;

    @Override
    int run(PresetOperations operations) {
        Either<PresetError, Preset> preset = PresetFiles.read(Path.of(file));
        return preset.isLeft()
                ? CommandResult.report(preset, ignored -> {})
                : change(
                        operations,
                        ifRevision,
                        (changeOperations, request) -> changeOperations.put(preset.get(), request));
    }
}
