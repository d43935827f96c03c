package org.azureshed.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import io.vavr.control.Either;
import java.util.function.Consumer;
import org.azureshed.preset.PresetError;
import org.slf4j.LoggerFactory;

/** Exit codes and output of operator commands. */
final class CommandResult {
    static final int OK = 0;
    static final int FAILED = 1;
    static final int OUTCOME_UNKNOWN = 3;

    private CommandResult() {}

    /**
     * Prints the result to standard output or the error to standard error; returns the exit code.
     */
    static <T> int report(Either<PresetError, T> result, Consumer<T> print) {
        if (result.isRight()) {
            print.accept(result.get());
            return OK;
        }
        PresetError error = result.getLeft();
        if (error instanceof PresetError.Invalid invalid && invalid.problems().size() > 1) {
            invalid.problems().forEach(problem -> System.out.println(oneLine(problem.message())));
        }
        fail(error.message());
        return error instanceof PresetError.OutcomeUnknown ? OUTCOME_UNKNOWN : FAILED;
    }

    static int fail(String message) {
        System.err.println("azureshed: " + oneLine(message));
        return FAILED;
    }

    static void warn(String message) {
        System.err.println("azureshed: warning: " + oneLine(message));
    }

    /** Replaces control characters, so texts of operators or the platform cannot forge lines. */
    static String oneLine(String text) {
        return text.replaceAll("\\p{Cntrl}+", " ");
    }

    /**
     * Turns off logging, which libraries send to standard output; errors are reported as results.
     */
    static void logNothing() {
        if (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
            root.setLevel(Level.OFF);
        }
    }
}
