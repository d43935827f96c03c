package org.azureshed.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.RequireOnlyOne;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.azureshed.platform.SettingsDecoder;
import org.azureshed.preset.PresetChunks;
import org.azureshed.sidecar.SidecarSettings;

/** Validates a preset file or a node's settings file without calling the platform. */
@Command(
        name = "check",
        description = "Checks a preset or a node's settings file without calling the platform")
public final class CheckCommand implements Callable<Integer> {
    private static final int FAILED = 1;

    @RequireOnlyOne(tag = "file")
    @Option(name = "--preset", description = "the preset file")
    private String presetFile;

    @RequireOnlyOne(tag = "file")
    @Option(
            name = "--sidecar-settings",
            description = "the settings file that the platform writes for a node")
    private String settingsFile;

    @Override
    public Integer call() {
        return presetFile != null ? checkPreset() : checkSettings();
    }

    private Integer checkPreset() {
        return CommandResult.report(
                PresetFiles.read(Path.of(presetFile))
                        .flatMap(preset -> PresetChunks.split(preset).map(chunks -> preset)),
                preset ->
                        System.out.printf(
                                "%s: preset \"%s\" is valid: %d services, %d classes, %d routes, %d"
                                        + " organisations%n",
                                presetFile,
                                preset.name(),
                                preset.services().size(),
                                preset.classes().size(),
                                preset.routes().size(),
                                preset.organisations().size()));
    }

    private Integer checkSettings() {
        try {
            SidecarSettings settings = SettingsDecoder.read(Path.of(settingsFile), System.getenv());
            System.out.printf(
                    "%s: settings of node \"%s\" are valid: service %s, callers at %s%n",
                    settingsFile, settings.node(), settings.service(), settings.callerListen());
            return 0;
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("azureshed: " + settingsFile + ": " + e.getMessage());
            return FAILED;
        }
    }
}
