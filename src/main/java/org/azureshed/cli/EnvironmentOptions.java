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
 * Takes options that the command line leaves out from environment variables. {@code --admin-port}
 * is read from {@code AZURESHED_ADMIN_PORT}. The command line wins; an empty variable counts as
 * unset; the values of an option that may be repeated are separated by commas.
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
     * @param cli the commands
     * @param args the command line
     * @param environment environment variables
     * @return the command line with the added options
     * @throws IllegalArgumentException if the variable of a flag is neither true nor false
     */
    public static String[] expand(
            GlobalMetadata<?> cli, String[] args, Map<String, String> environment) {
        List<String> line = Arrays.asList(args);
        List<CommandMetadata> commands = cli.getDefaultGroupCommands();
        int words = 1;
        for (CommandGroupMetadata group : cli.getCommandGroups()) {
            if (args.length > 0 && group.getName().equals(args[0])) {
                commands = group.getCommands();
                words = 2;
            }
        }
        if (args.length < words) {
            return args;
        }
        Optional<CommandMetadata> command = find(commands, args[words - 1]);
        if (command.isEmpty()) {
            return args;
        }
        List<String> expanded = new ArrayList<>(line.subList(0, words));
        List<String> rest = line.subList(words, args.length);
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

    private static boolean isGiven(OptionMetadata option, List<String> words) {
        int end = words.indexOf(END_OF_OPTIONS);
        return words.subList(0, end < 0 ? words.size() : end).stream()
                .anyMatch(
                        word ->
                                option.getOptions().contains(word)
                                        || option.getOptions().stream()
                                                .anyMatch(name -> word.startsWith(name + "=")));
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
