package org.azureshed.cli;

import com.github.rvesse.airline.model.CommandGroupMetadata;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.model.OptionMetadata;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Reads options that are missing on the command line from environment variables. For example,
 * {@code --admin-port} is read from {@code AZURESHED_ADMIN_PORT}. The command line takes
 * precedence, an empty variable counts as unset, and the values of a repeatable option are
 * separated by commas.
 *
 * <pre>{@code
 * Cli<Callable> cli = builder.build();
 * cli.parse(EnvironmentOptions.expand(cli.getMetadata(), args, System.getenv()));
 * }</pre>
 */
public final class EnvironmentOptions {
    private static final String PREFIX = "AZURESHED_";
    private static final String END_OF_OPTIONS = "--";

    private EnvironmentOptions() {}

    /**
     * Adds options from the environment to a command line.
     *
     * @param cli metadata of the commands and their options
     * @param args the command line
     * @param environment environment variables
     * @return the command line with the added options
     * @throws IllegalArgumentException if the variable of a flag is neither true nor false
     */
    public static String[] expand(
            GlobalMetadata<?> cli, String[] args, Map<String, String> environment) {
        List<String> arguments = Arrays.asList(args);
        List<CommandMetadata> commands = cli.getDefaultGroupCommands();
        int commandWords = 1;
        for (CommandGroupMetadata group : cli.getCommandGroups()) {
            if (args.length > 0 && group.getName().equals(args[0])) {
                commands = group.getCommands();
                commandWords = 2;
            }
        }
        if (args.length < commandWords) {
            return args;
        }
        Optional<CommandMetadata> command = find(commands, args[commandWords - 1]);
        if (command.isEmpty()) {
            return args;
        }
        List<String> expanded = new ArrayList<>(arguments.subList(0, commandWords));
        List<String> rest = arguments.subList(commandWords, args.length);
        for (OptionMetadata option : command.get().getAllOptions()) {
            String value = environment.getOrDefault(variable(option), "");
            if (!value.isEmpty() && !isGiven(option, rest)) {
                add(option, value, expanded);
            }
        }
        expanded.addAll(rest);
        return expanded.toArray(String[]::new);
    }

    private static Optional<CommandMetadata> find(List<CommandMetadata> commands, String name) {
        return commands.stream().filter(command -> command.getName().equals(name)).findFirst();
    }

    private static String longestName(OptionMetadata option) {
        return option.getOptions().stream()
                .max(Comparator.comparingInt(String::length))
                .orElseThrow();
    }

    private static String variable(OptionMetadata option) {
        String name = longestName(option).replaceFirst("^-+", "");
        return PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    private static boolean isGiven(OptionMetadata option, List<String> arguments) {
        int end = arguments.indexOf(END_OF_OPTIONS);
        return arguments.subList(0, end < 0 ? arguments.size() : end).stream()
                .anyMatch(
                        argument ->
                                option.getOptions().contains(argument)
                                        || option.getOptions().stream()
                                                .anyMatch(name -> argument.startsWith(name + "=")));
    }

    private static void add(OptionMetadata option, String value, List<String> expanded) {
        String name = longestName(option);
        if (option.getArity() == 0) {
            if (!value.equals("true") && !value.equals("false")) {
                throw new IllegalArgumentException(
                        variable(option) + " is \"" + value + "\"; set it to true or false");
            }
            if (value.equals("true")) {
                expanded.add(name);
            }
            return;
        }
        for (String part : option.isMultiValued() ? value.split(",") : new String[] {value}) {
            expanded.add(name);
            expanded.add(part.strip());
        }
    }
}
