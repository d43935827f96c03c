package org.azureshed.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.concurrent.Callable;

/** Entry point of the {@code azureshed} program. */
public final class Main {
    private static final int FAILED = 1;
    private static final int USAGE = 2;

    private Main() {}

    /**
     * Runs one command and exits with its code: 0 success, 1 failure, 2 wrong usage, 3 unknown
     * outcome of a change.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    @SuppressWarnings("rawtypes")
    private static int run(String[] args) {
        Callable<?> command;
        try {
            Cli<Callable> cli = cli();
            command =
                    cli.parse(EnvironmentOptions.expand(cli.getMetadata(), args, System.getenv()));
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println("azureshed: " + e.getMessage() + "; see azureshed help");
            return USAGE;
        }
        try {
            return command.call() instanceof Integer code ? code : 0;
        } catch (IllegalArgumentException e) {
            System.err.println("azureshed: " + e.getMessage());
            return USAGE;
        } catch (Exception e) {
            System.err.println("azureshed: " + e);
            return FAILED;
        }
    }

    @SuppressWarnings("rawtypes")
    private static Cli<Callable> cli() {
        CliBuilder<Callable> builder =
                Cli.<Callable>builder("azureshed")
                        .withDescription("Proxy fleet for targets with gray failures")
                        .withDefaultCommand(Help.class)
                        .withCommand(Help.class)
                        .withCommand(NodeCommand.class)
                        .withCommand(SampleTargetCommand.class)
                        .withCommand(StatusCommand.class);
        Commands.addTo(builder);
        return builder.build();
    }
}
