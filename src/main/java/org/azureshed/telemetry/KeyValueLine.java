package org.azureshed.telemetry;

/** Builds one log line of key=value pairs; values with special characters are quoted. */
final class KeyValueLine {
    private final StringBuilder line;

    KeyValueLine(String event) {
        line = new StringBuilder("event=").append(event);
    }

    KeyValueLine with(String key, Object value) {
        line.append(' ').append(key).append('=').append(quote(String.valueOf(value)));
        return this;
    }

    @Override
    public String toString() {
        return line.toString();
    }

    private static String quote(String value) {
        if (isPlain(value)) {
            return value;
        }
        String escaped =
                value.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\r", "\\r");
        return '"' + escaped + '"';
    }

    private static boolean isPlain(String value) {
        for (int i = 0; i < value.length(); i++) {
            char character = value.charAt(i);
            if (character <= ' ' || character == '"' || character == '=' || character == '\\') {
                return false;
            }
        }
        return !value.isEmpty();
    }
}
