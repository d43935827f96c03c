package org.azureshed.http;

import java.util.regex.Pattern;

/**
 * Finds status lines where none belongs. If a server stops in the middle of a response head and
 * goes on with another one, the second status line becomes a part of the first head.
 */
public final class StatusLines {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}(\\s|$)");

    private StatusLines() {}

    /**
     * Whether a part of a response head holds a status line.
     *
     * @param text reason phrase, or name or value of a header
     * @return true if it does, so that the head is not a single one
     */
    public static boolean in(String text) {
        // The protocol rules out most values without a search.
        return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
    }
}
