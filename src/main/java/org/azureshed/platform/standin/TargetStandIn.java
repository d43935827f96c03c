package org.azureshed.platform.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A stand-in of a target on plain sockets, which can fail in every way that a target does.
 *
 * <pre>{@code
 * TargetStandIn target = new TargetStandIn("127.0.1.1", 8301, "i-1", request -> Behaviour.answer());
 * }</pre>
 */
public final class TargetStandIn implements AutoCloseable {
    private final String id;
    private final ServerSocket server;
    private final List<Request> runs = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile Function<Request, Behaviour> behaviour;

    /**
     * A request that arrived.
     *
     * @param line request line
     * @param headers headers, with lower-case names
     * @param body the body
     */
    public record Request(String line, Map<String, String> headers, String body) {
        /**
         * Its identifier.
         *
         * @return the request id, or an empty text
         */
        public String requestId() {
            return headers.getOrDefault("x-azureshed-request-id", "");
        }
    }

    /** What the target does with a request. */
    public sealed interface Behaviour {
        /**
         * Answers.
         *
         * @param status HTTP status
         * @param millis how long it works first
         * @param body the body
         */
        record Answer(int status, long millis, String body) implements Behaviour {}

        /** States that it did not run the request. */
        record Shed() implements Behaviour {}

        /** Runs the request and resets the connection. */
        record Reset() implements Behaviour {}

        /** Runs the request and ends the answer in the middle. */
        record Truncated() implements Behaviour {}

        /** Runs the request and sends bytes that are no answer. */
        record Garbage() implements Behaviour {}

        /**
         * Runs the request and answers it twice.
         *
         * @param body the body of both answers
         */
        record Twice(String body) implements Behaviour {}

        /** Runs the request and never answers. */
        record Mute() implements Behaviour {}

        /**
         * The usual answer.
         *
         * @return success at once
         */
        static Behaviour answer() {
            return new Answer(200, 0, "ok");
        }
    }

    /**
     * Starts a target.
     *
     * @param host address to listen on
     * @param port port to listen on
     * @param id its identifier
     * @param behaviour what it does with each request
     * @throws IOException if it cannot listen
     */
    public TargetStandIn(String host, int port, String id, Function<Request, Behaviour> behaviour)
            throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        this.server = new ServerSocket(port, 64, InetAddress.getByName(host));
        Thread.startVirtualThread(this::accept);
    }

    /**
     * Changes what it does with requests.
     *
     * @param next the new behaviour
     */
    public void behaviour(Function<Request, Behaviour> next) {
        behaviour = next;
    }

    /**
     * Requests that it began to run.
     *
     * @return in the order of their arrival
     */
    public List<Request> runs() {
        return runs;
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                Thread.startVirtualThread(() -> serve(socket));
            }
        } catch (IOException expected) {
            // The listener was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Request request = read(in);
                if (request == null || !respond(request, socket, out)) {
                    return;
                }
            }
        } catch (IOException expected) {
            // The caller closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean respond(Request request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        String expected = request.headers().get("x-azureshed-expected-instance");
        if (expected != null && !expected.equals(id)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        Behaviour chosen = behaviour.apply(request);
        if (chosen instanceof Behaviour.Shed) {
            write(
                    out,
                    "HTTP/1.1 503 Service Unavailable\r\nX-Azureshed-Not-Executed: 1\r\n"
                            + "Content-Length: 0\r\n\r\n");
            return true;
        }
        runs.add(request);
        switch (chosen) {
            case Behaviour.Answer answer -> {
                TimeUnit.MILLISECONDS.sleep(answer.millis());
                write(out, whole(request, answer.status(), answer.body()));
            }
            case Behaviour.Reset ignored -> {
                socket.setOption(StandardSocketOptions.SO_LINGER, 0);
                return false;
            }
            case Behaviour.Truncated ignored -> {
                String answer = whole(request, 200, "half of an answer");
                write(out, answer.substring(0, answer.length() - 5));
                return false;
            }
            case Behaviour.Garbage ignored -> write(out, "\u0001\u0002 no answer\r\n\r\n");
            case Behaviour.Twice twice -> {
                String answer = whole(request, 200, twice.body());
                write(out, answer + answer);
            }
            default -> TimeUnit.SECONDS.sleep(30);
        }
        return true;
    }

    private static String whole(Request request, int status, String body) {
        return "HTTP/1.1 "
                + status
                + " Status\r\nX-Azureshed-Request-Id: "
                + request.requestId()
                + "\r\nX-Azureshed-Response-Signature: s."
                + request.requestId()
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static Request read(InputStream in) throws IOException {
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
                    header.substring(0, colon).toLowerCase(java.util.Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Request(
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
