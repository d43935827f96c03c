package org.azureshed.preset;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.azureshed.platform.StoreError;

/** Why an operation on presets failed. */
public sealed interface PresetError {
    /**
     * Explains the error and its remedy.
     *
     * @return one line
     */
    String message();

    /**
     * A preset file has problems.
     *
     * @param file name of the file
     * @param problems all problems found, at least one
     */
    record Invalid(String file, List<PresetProblem> problems) implements PresetError {
        /** Makes an unmodifiable copy of the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }

        @Override
        public String message() {
            if (problems.size() == 1) {
                return problems.getFirst().message();
            }
            return file
                    + " has "
                    + problems.size()
                    + " problems, the first is "
                    + problems.getFirst().path()
                    + ": "
                    + problems.getFirst().detail()
                    + "; correct all of them and run azureshed check --preset FILE";
        }
    }

    /**
     * No preset has the requested name.
     *
     * @param name the requested name
     * @param known the names that exist
     */
    record UnknownPreset(String name, Set<String> known) implements PresetError {
        @Override
        public String message() {
            return "there is no preset \""
                    + name
                    + "\"; put it first, or use one of "
                    + (known.isEmpty() ? "(none yet)" : String.join(", ", new TreeSet<>(known)));
        }
    }

    /**
     * A concurrent change took effect first, so this change was refused.
     *
     * @param winner the change that took effect first; empty if it could not be read
     */
    record LostRace(Optional<PresetChange> winner) implements PresetError {
        @Override
        public String message() {
            return winner.map(
                                    change ->
                                            "operator "
                                                    + change.operator()
                                                    + " came first with "
                                                    + change.summary()
                                                    + ", reason \""
                                                    + change.reason()
                                                    + "\"")
                            .orElse("another operator came first")
                    + "; this change did not take effect: run azureshed preset list, and repeat it"
                    + " if it is still wanted";
        }
    }

    /**
     * No response showed in time whether the change took effect.
     *
     * @param operationId id of the change
     * @param detail the last failure
     */
    record OutcomeUnknown(String operationId, String detail) implements PresetError {
        @Override
        public String message() {
            return "it is unknown whether the change took effect ("
                    + detail
                    + "); when the platform is back run azureshed preset history and look for"
                    + " operation "
                    + operationId
                    + " before repeating the change";
        }
    }

    /**
     * Stored content is missing or does not match its digest or format.
     *
     * @param object name of the object in the platform's store
     * @param detail what is wrong
     * @param remedy what the operator should do
     */
    record Corrupt(String object, String detail, String remedy) implements PresetError {
        @Override
        public String message() {
            return "stored object " + object + " is unusable (" + detail + "); " + remedy;
        }
    }

    /**
     * One entry of a preset is larger than a chunk may be.
     *
     * @param name first 60 bytes of the entry's chunk, which show its section and name
     * @param bytes size of the entry in bytes
     * @param limit largest size in bytes
     */
    record EntryTooLarge(String name, int bytes, int limit) implements PresetError {
        @Override
        public String message() {
            return "entry \""
                    + name
                    + "\" takes "
                    + bytes
                    + " bytes, the limit is "
                    + limit
                    + "; shorten its texts";
        }
    }

    /**
     * The platform refused or failed a call. The change did not take effect.
     *
     * @param cause the error of the platform
     */
    record Store(StoreError cause) implements PresetError {
        @Override
        public String message() {
            return cause.message();
        }
    }
}
