package org.azureshed.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.charset.StandardCharsets;
import org.azureshed.preset.PresetCodec;
import org.azureshed.preset.PresetOperations;

/** Prints a preset as JSON, in the format of preset files. */
@Command(name = "show", description = "Prints a preset in the form that put reads")
public final class PresetShowCommand extends PlatformCommand {
    @Required
    @Arguments(title = "NAME", description = "name of the preset")
    private String name;

    @Override
    int run(PresetOperations operations) {
        return CommandResult.report(
                operations.show(name),
                stored ->
                        System.out.println(
                                new String(
                                        PresetCodec.encode(stored.preset()),
                                        StandardCharsets.UTF_8)));
    }
}
