import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The little of HTTP/1.1 that the stand-ins need. */
final class Http {
    private Http() {}

    /** A complete request or response. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        boolean keepsConnection() {
            return !header("connection").toLowerCase(Locale.ROOT).contains("close");
        }
    }

    /**
     * Reads a message; null if the connection ends before its first byte.
     *
     * @throws EOFException if the connection ends inside the message
     */
    static Message read(InputStream in, boolean request) throws IOException {
        String first = line(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String header = line(in, false); !header.isEmpty(); header = line(in, false)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        byte[] body;
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            body = chunks(in);
        } else if (headers.containsKey("content-length")) {
            body = exactly(in, Integer.parseInt(headers.get("content-length")));
        } else {
            body = request ? new byte[0] : in.readAllBytes();
        }
        return new Message(first, headers, body);
    }

    private static byte[] chunks(InputStream in) throws IOException {
        java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
            if (size == 0) {
                while (!line(in, false).isEmpty()) {
                    // Trailers are not used.
                }
                return body.toByteArray();
            }
            body.write(exactly(in, size));
            line(in, false);
        }
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended inside a body");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean first) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (first && line.isEmpty()) {
                    return null;
                }
                throw new EOFException("the connection ended inside a head");
            }
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
    }

    /** Sends a request on a new connection; returns the status, or -1 without an answer. */
    static int call(
            String ip, int port, String method, String path, String body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: "
                            + ip
                            + "\r\nContent-Type: application/json\r\nContent-Length: "
                            + bytes.length
                            + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(bytes);
            Message answer = read(new BufferedInputStream(socket.getInputStream()), false);
            return answer == null ? -1 : answer.status();
        } catch (IOException e) {
            return -1;
        }
    }
}
