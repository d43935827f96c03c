package org.azureshed.traffic;

/** Cuts text of other parties to a length fit for a log line. */
final class LogText {
    private static final int MAX_LENGTH = 120;

    private LogText() {}

    static String shorten(String text) {
        return text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH) + "...";
    }
}
