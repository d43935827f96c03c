package org.azureshed.telemetry;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Reports entries of other writers that are left out because they cannot be used. Each report is
 * counted; only the first one of an entry is logged, since listings return the same entry again and
 * again.
 */
public final class UnusableEntries {
    /** Entries remembered as logged; beyond it the oldest may be logged a second time. */
    private static final int MAX_REMEMBERED = 256;

    private static final int MAX_FIELD_LENGTH = 120;

    /** Logs the first report of an entry. */
    @FunctionalInterface
    public interface FirstReport {
        /**
         * Logs an unusable entry.
         *
         * @param kind kind of the object or message
         * @param name name of the entry or sender, shortened; may be empty
         * @param cause why the entry cannot be used, shortened
         */
        void write(String kind, String name, String cause);
    }

    private final Consumer<String> counter;
    private final FirstReport log;
    private final Set<String> logged =
            Collections.newSetFromMap(
                    new LinkedHashMap<>() {
                        @Override
                        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                            return size() > MAX_REMEMBERED;
                        }
                    });

    /**
     * Creates an empty report.
     *
     * @param counter receives the kind of each unusable entry, for metrics
     * @param log receives the first report of each entry
     */
    public UnusableEntries(Consumer<String> counter, FirstReport log) {
        this.counter = counter;
        this.log = log;
    }

    /**
     * Reports an entry.
     *
     * @param kind kind of the object in the store, or of the message that contains the entry
     * @param name name of the entry, or of the sender; may be empty
     * @param cause why the entry cannot be used
     */
    public synchronized void report(String kind, String name, String cause) {
        counter.accept(kind);
        String shortName = shorten(name);
        String shortCause = shorten(String.valueOf(cause));
        if (logged.add(kind + '/' + shortName + '/' + shortCause)) {
            log.write(kind, shortName, shortCause);
        }
    }

    private static String shorten(String text) {
        return text.length() <= MAX_FIELD_LENGTH ? text : text.substring(0, MAX_FIELD_LENGTH);
    }
}
