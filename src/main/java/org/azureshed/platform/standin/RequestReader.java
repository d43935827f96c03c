package org.azureshed.platform.standin;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads the requests on a connection of {@link TargetStandIn}. */
final class RequestReader {
    private RequestReader() {}

    /** Returns the next request, or null at the end of the connection. */
    static TargetStandIn.Request read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(in);
                header != null && !header.isEmpty();
                header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new TargetStandIn.Request(
                line, headers, new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return null;
    }
}
