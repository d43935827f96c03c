package org.azureshed.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.azureshed.preset.ChangeRequest;
import org.azureshed.preset.PresetChange;
import org.azureshed.preset.PresetError;
import org.azureshed.preset.PresetOperations;

/** Base class of commands that change a preset or the preset in force. */
abstract class PresetChangeCommand extends PlatformCommand {
    @Required
    @Option(name = "--reason", description = "reason for the change; kept in the history")
    private String reason;

    @Option(name = "--operator", description = "name of the operator (default: the user's name)")
    private String operator = System.getProperty("user.name", "");

    @Option(
            name = "--node",
            description =
                    "URL of a node's admin listener to ask for the activation number in force; may"
                            + " be repeated. Needed after the platform was restored from an older"
                            + " copy")
    private List<String> nodes = new ArrayList<>();

    final int change(PresetOperations operations, Long expected, Change change) {
        List<java.net.URI> uris = nodes.stream().map(node -> httpUri("--node", node)).toList();
        // Validates the operator and reason before any node is called.
        ChangeRequest.of(operator, reason);
        OptionalLong fleetNumber = new FleetStatus().highestActivation(uris);
        if (fleetNumber.isEmpty() && !nodes.isEmpty()) {
            return CommandResult.fail(
                    "no node answered, so the fleet's activation number is unknown; nothing was"
                            + " changed: name a node that is up, or leave out --node if the"
                            + " platform was not restored from an older copy");
        }
        OptionalLong expectation =
                expected == null ? OptionalLong.empty() : OptionalLong.of(expected);
        ChangeRequest request =
                new ChangeRequest(operator, reason, fleetNumber.orElse(0), expectation);
        return CommandResult.report(
                change.run(operations, request),
                applied ->
                        System.out.println(
                                CommandResult.oneLine(
                                        applied.summary()
                                                + " took effect, activation number "
                                                + applied.activationNumber()
                                                + ", operation "
                                                + applied.operationId())));
    }

    /** Runs one change on the platform. */
    interface Change {
        Either<PresetError, PresetChange> run(PresetOperations operations, ChangeRequest request);
    }
}
