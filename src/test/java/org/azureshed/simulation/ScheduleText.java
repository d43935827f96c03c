package org.azureshed.simulation;

import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.StringJoiner;

/**
 * Text form of schedules: the seed of the requests, then a line for each step.
 *
 * <pre>{@code
 * requests 7
 * 6000 LateHeartbeat node=1 millis=3500
 * }</pre>
 */
final class ScheduleText {
    private static final String REQUESTS = "requests ";

    private ScheduleText() {}

    static String print(Schedule schedule) {
        StringBuilder text = new StringBuilder(REQUESTS).append(schedule.seed()).append('\n');
        for (Schedule.Step step : schedule.steps()) {
            text.append(step.atMillis()).append(' ').append(print(step.action())).append('\n');
        }
        return text.toString();
    }

    private static String print(Action action) {
        StringJoiner text = new StringJoiner(" ");
        text.add(action.getClass().getSimpleName());
        for (RecordComponent component : action.getClass().getRecordComponents()) {
            try {
                text.add(component.getName() + '=' + component.getAccessor().invoke(action));
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException("cannot read " + component, e);
            }
        }
        return text.toString();
    }

    /**
     * Reads a schedule.
     *
     * @throws IllegalArgumentException if a line is no step
     */
    static Schedule parse(String text) {
        long seed = 0;
        List<Schedule.Step> steps = new ArrayList<>();
        for (String line : text.lines().filter(each -> !each.isBlank()).toList()) {
            if (line.startsWith("#")) {
                continue;
            }
            if (line.startsWith(REQUESTS)) {
                seed = Long.parseLong(line.substring(REQUESTS.length()).trim());
                continue;
            }
            String[] words = line.trim().split(" +");
            steps.add(new Schedule.Step(Long.parseLong(words[0]), action(line, words)));
        }
        return new Schedule(seed, List.copyOf(steps));
    }

    private static Action action(String line, String[] words) {
        Class<?> type =
                Arrays.stream(Action.class.getPermittedSubclasses())
                        .filter(each -> words.length > 1 && each.getSimpleName().equals(words[1]))
                        .findFirst()
                        .orElseThrow(() -> new IllegalArgumentException("no step: " + line));
        RecordComponent[] components = type.getRecordComponents();
        if (words.length != components.length + 2) {
            throw new IllegalArgumentException("not the fields of " + type + ": " + line);
        }
        Object[] values = new Object[components.length];
        for (int i = 0; i < values.length; i++) {
            String prefix = components[i].getName() + '=';
            if (!words[i + 2].startsWith(prefix)) {
                throw new IllegalArgumentException("expected " + prefix + " in: " + line);
            }
            values[i] = value(components[i].getType(), words[i + 2].substring(prefix.length()));
        }
        Constructor<?> constructor = type.getDeclaredConstructors()[0];
        try {
            return (Action) constructor.newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new IllegalArgumentException("no step: " + line, e);
        }
    }

    private static Object value(Class<?> type, String text) {
        if (type == int.class) {
            return Integer.valueOf(text);
        }
        if (type == long.class) {
            return Long.valueOf(text);
        }
        if (type == boolean.class) {
            return Boolean.valueOf(text);
        }
        return Arrays.stream(type.getEnumConstants())
                .filter(each -> each.toString().equals(text))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown value " + text));
    }
}
