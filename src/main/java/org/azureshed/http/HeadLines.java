package org.azureshed.http;

import java.util.regex.Pattern;

/**
 * Grammar of the lines of a message head (RFC 9112). HTTP libraries accept more than it: they skip
 * leading bytes, and read a status such as {@code 0200} as a number.
 */
public final class HeadLines {
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d(?: [\\t\\x20-\\x7e\\x80-\\xff]*)?");
    private static final Pattern REQUEST_LINE =
            Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+ [\\x21-\\x7e\\x80-\\xff]+ HTTP/1\\.[01]");
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

    private HeadLines() {}

    /**
     * Whether a line is a status line with a status from 100 to 599.
     *
     * @param line the line as received, in ISO 8859-1, without its line end
     * @return true if a response may begin with it
     */
    public static boolean isStatusLine(String line) {
        return STATUS_LINE.matcher(line).matches();
    }

    /**
     * Whether a line is a request line. Its target may have bytes beyond ASCII, which callers send
     * although URIs have none; they are passed on as they came.
     *
     * @param line the line as received, in ISO 8859-1, without its line end
     * @return true if a request may begin with it
     */
    public static boolean isRequestLine(String line) {
        return REQUEST_LINE.matcher(line).matches();
    }

    /**
     * Whether a line is a header. A continuation of the line before is none: recipients disagree on
     * what it means.
     *
     * @param line the line as received, in ISO 8859-1, without its line end
     * @param ofResponse whether the name may be followed by blanks, which a proxy removes from a
     *     response and must not accept in a request
     * @return true if it has a name, a colon and a value without control characters
     */
    public static boolean isHeader(String line, boolean ofResponse) {
        int nameEnd = 0;
        while (nameEnd < line.length() && isTokenCharacter(line.charAt(nameEnd))) {
            nameEnd++;
        }
        int colon = nameEnd;
        while (ofResponse && colon < line.length() && isBlank(line.charAt(colon))) {
            colon++;
        }
        if (nameEnd == 0 || colon == line.length() || line.charAt(colon) != ':') {
            return false;
        }
        for (int i = colon + 1; i < line.length(); i++) {
            if (!isValueCharacter(line.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether a character may occur in a method or in the name of a header.
     *
     * @param c the character
     * @return true if it may
     */
    public static boolean isTokenCharacter(char c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || TOKEN_SYMBOLS.indexOf(c) >= 0;
    }

    /**
     * Whether a text consists of characters that {@link #isTokenCharacter} allows.
     *
     * @param text the text
     * @return true if it does and is not empty
     */
    public static boolean isToken(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> isTokenCharacter((char) c));
    }

    private static boolean isValueCharacter(char c) {
        return c == '\t' || c >= ' ' && c != '\u007f';
    }

    private static boolean isBlank(char c) {
        return c == ' ' || c == '\t';
    }
}
