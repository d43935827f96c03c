package org.azureshed.simulation;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Strict reader of the HTTP messages of one direction of a connection. It reports the head of a
 * message, then the whole message; what is no message is an error.
 */
final class HttpReader {
    /**
     * A message.
     *
     * @param startLine request line or status line
     * @param headers values by lower-case name; of several headers of one name the last
     * @param body whole body, as Latin-1
     */
    record Message(String startLine, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(startLine.substring(9, 12));
        }

        String requestId() {
            return header("x-azureshed-request-id");
        }
    }

    private final Consumer<Message> onHead;
    private final Consumer<Message> onMessage;
    private final boolean responses;
    private String text = "";
    private Message head;
    private String error = "";

    /**
     * Creates a reader.
     *
     * @param responses whether the messages are responses, which may end with the connection
     * @param onHead receives each head, with an empty body
     * @param onMessage receives each whole message
     */
    HttpReader(boolean responses, Consumer<Message> onHead, Consumer<Message> onMessage) {
        this.responses = responses;
        this.onHead = onHead;
        this.onMessage = onMessage;
    }

    /** What is wrong with the bytes so far; empty if nothing. */
    String error() {
        return error;
    }

    /** Whether a message has begun that is not complete. */
    boolean isWithinMessage() {
        return head != null || !text.isEmpty();
    }

    /** Whether the head of the current message has been read. */
    boolean hasHead() {
        return head != null;
    }

    void read(byte[] bytes) {
        text += new String(bytes, StandardCharsets.ISO_8859_1);
        while (error.isEmpty() && !text.isEmpty() && readNext()) {
            // Reads as many messages as there are.
        }
    }

    /**
     * Tells the reader that the connection has ended regularly; completes a body without length.
     */
    void end() {
        if (head != null && responses && !isFramed(head)) {
            complete(text, text.length());
        }
    }

    private boolean readNext() {
        if (head == null) {
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return false;
            }
            readHead(text.substring(0, end));
            text = text.substring(end + 4);
            if (!error.isEmpty()) {
                return false;
            }
            onHead.accept(head);
        }
        return head != null && readBody();
    }

    private void readHead(String block) {
        String[] lines = block.split("\r\n");
        boolean sound =
                responses
                        ? lines[0].matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?")
                        : lines[0].matches("[A-Z]+ [^ ]+ HTTP/1\\.1");
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) {
                sound = false;
            } else {
                headers.put(
                        lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                        lines[i].substring(colon + 1).trim());
            }
        }
        if (!sound) {
            error = "no head: " + block.lines().findFirst().orElse("");
        }
        head = new Message(lines[0], headers, "");
    }

    private boolean isFramed(Message message) {
        return message.headers().containsKey("content-length")
                || message.header("transfer-encoding").equals("chunked")
                || responses && (message.status() == 204 || message.status() / 100 == 1);
    }

    private boolean readBody() {
        if (head.header("transfer-encoding").equals("chunked")) {
            return readChunks();
        }
        if (responses && !isFramed(head)) {
            return false;
        }
        String stated = head.headers().getOrDefault("content-length", "0");
        int length = Integer.parseInt(stated);
        if (text.length() < length) {
            return false;
        }
        complete(text.substring(0, length), length);
        return true;
    }

    private boolean readChunks() {
        StringBuilder body = new StringBuilder();
        int at = 0;
        while (true) {
            int lineEnd = text.indexOf("\r\n", at);
            if (lineEnd < 0) {
                return false;
            }
            int size;
            try {
                size = Integer.parseInt(text.substring(at, lineEnd), 16);
            } catch (NumberFormatException e) {
                error = "no chunk: " + text.substring(at, lineEnd);
                return false;
            }
            int next = lineEnd + 2 + size + 2;
            if (text.length() < next) {
                return false;
            }
            body.append(text, lineEnd + 2, lineEnd + 2 + size);
            at = next;
            if (size == 0) {
                complete(body.toString(), at);
                return true;
            }
        }
    }

    private void complete(String body, int length) {
        Message message = new Message(head.startLine(), head.headers(), body);
        text = text.substring(length);
        head = null;
        onMessage.accept(message);
    }
}
