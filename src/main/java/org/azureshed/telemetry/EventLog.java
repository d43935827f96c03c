package org.azureshed.telemetry;

import com.google.common.flogger.FluentLogger;
import java.util.logging.Level;

/**
 * Writes one line of key=value pairs for each event.
 *
 * <pre>{@code
 * EventLog.info("target_announced").with("target", id).with("slots", 4).write();
 * }</pre>
 */
public final class EventLog {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Level level;
    private final KeyValueLine line;

    private EventLog(Level level, String event) {
        this.level = level;
        this.line = new KeyValueLine(event);
    }

    /**
     * Starts a line about normal operation.
     *
     * @param event name of the event in lower case with underscores
     * @return the line
     */
    public static EventLog info(String event) {
        return new EventLog(Level.INFO, event);
    }

    /**
     * Starts a line about a failure from which the system recovers.
     *
     * @param event name of the event in lower case with underscores
     * @return the line
     */
    public static EventLog warning(String event) {
        return new EventLog(Level.WARNING, event);
    }

    /**
     * Appends a key=value pair.
     *
     * @param key name in lower case with underscores
     * @param value any value; quoted if it has spaces, quotes, equals signs or control characters
     * @return this line
     */
    public EventLog with(String key, Object value) {
        line.with(key, value);
        return this;
    }

    /** Writes the line. */
    public void write() {
        logger.at(level).log("%s", line);
    }

    @Override
    public String toString() {
        return line.toString();
    }
}
