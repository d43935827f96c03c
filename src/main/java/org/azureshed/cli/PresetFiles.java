package org.azureshed.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import org.azureshed.model.Preset;
import org.azureshed.preset.PresetCodec;
import org.azureshed.preset.PresetError;
import org.azureshed.preset.PresetProblem;

/** Reads preset files from disk. */
final class PresetFiles {
    private PresetFiles() {}

    static Either<PresetError, Preset> read(Path file) {
        try {
            return PresetCodec.decode(file.toString(), Files.readAllBytes(file));
        } catch (IOException e) {
            String detail =
                    e instanceof NoSuchFileException
                            ? "the file does not exist"
                            : "the file cannot be read: " + e;
            return Either.left(
                    new PresetError.Invalid(
                            file.toString(),
                            List.of(
                                    new PresetProblem(
                                            PresetProblem.Kind.UNREADABLE,
                                            file.toString(),
                                            "$",
                                            detail,
                                            "name a readable file"))));
        }
    }
}
