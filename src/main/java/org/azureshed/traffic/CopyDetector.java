package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.azureshed.http.StatusLines;

/**
 * Finds a second copy of an answer in the body of the first, if only the end of the connection ends
 * that body: a head with the identifier of the request.
 */
final class CopyDetector {
    /** Longest part of a head up to its identifier. */
    private static final int MAX_HEAD_CHARS = 8 << 10;

    private static final String PROTOCOL = "http/1.";
    private static final String LINE_END = "\r\n";

    private final String idLine;
    private String tail = "";

    /**
     * Creates a detector for one body.
     *
     * @param idHeader name of the header with the identifier
     * @param requestId identifier of the request
     */
    CopyDetector(String idHeader, String requestId) {
        this.idLine = (LINE_END + idHeader + ": " + requestId + LINE_END).toLowerCase(Locale.ROOT);
    }

    /** Whether the body, with this next part, holds the head of a copy. */
    boolean found(ByteBuf part) {
        String text = tail + part.toString(StandardCharsets.ISO_8859_1).toLowerCase(Locale.ROOT);
        for (int at = text.indexOf(idLine); at >= 0; at = text.indexOf(idLine, at + 1)) {
            int start = text.lastIndexOf(PROTOCOL, at);
            if (start >= 0 && isHead(text.substring(start, at + LINE_END.length()))) {
                return true;
            }
        }
        tail = text.substring(Math.max(0, text.length() - MAX_HEAD_CHARS));
        return false;
    }

    private static boolean isHead(String text) {
        int lineEnd = text.indexOf(LINE_END);
        String line = lineEnd < 0 ? text : text.substring(0, lineEnd);
        return StatusLines.in(line.toUpperCase(Locale.ROOT)) && !text.contains(LINE_END + LINE_END);
    }
}
