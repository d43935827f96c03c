package org.azureshed.simulation;

import java.nio.charset.StandardCharsets;

/** Builds HTTP messages. */
final class HttpText {
    private HttpText() {}

    /** Builds a request with a body of a stated length. */
    static String request(String method, String target, String headers, String body) {
        String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
        return method
                + ' '
                + target
                + " HTTP/1.1\r\nHost: shop.example\r\n"
                + headers
                + length
                + "\r\n"
                + body;
    }

    /** Builds a response with a body of a stated length. */
    static String response(int status, String headers, String body) {
        return "HTTP/1.1 "
                + status
                + " X\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
