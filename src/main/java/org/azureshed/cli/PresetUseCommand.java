package org.azureshed.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.azureshed.preset.PresetOperations;

/** Puts a preset in force. */
@Command(name = "use", description = "Puts a preset in force")
public final class PresetUseCommand extends PresetChangeCommand {
    @Required
    @Arguments(title = "NAME", description = "name of the preset")
    private String name;

    @Option(
            name = "--if-activation",
            description = "refuse unless this activation number is current")
    private Long ifActivation;

    @Override
    int run(PresetOperations operations) {
        return change(
                operations,
                ifActivation,
                (changeOperations, request) -> changeOperations.use(name, request));
    }
}
