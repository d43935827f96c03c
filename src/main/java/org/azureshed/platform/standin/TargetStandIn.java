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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Test double of a target, written on plain sockets to be able to send broken responses and reset
 * connections.
 *
 * <pre>{@code
 * TargetStandIn target = new TargetStandIn("127.0.1.1", 8301, "i-1", request -> Behaviour.answer());
 * }</pre>
 */
public final class TargetStandIn implements AutoCloseable {
    private final String id;
    private final ServerSocket server;
    private final List<Request> executions = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Map<Socket, String> lateCopies = new ConcurrentHashMap<>();
    private final AtomicInteger endlessResponses = new AtomicInteger();
    private final Set<String> firstAnswers = ConcurrentHashMap.newKeySet();
    private final Map<String, List<Integer>> statuses = new ConcurrentHashMap<>();
    private volatile Function<Request, Behaviour> behaviour;

    /**
     * A request that the target received.
     *
     * @param line request line
     * @param headers header values by lower-case name
     * @param body request body; empty if there is none
     */
    public record Request(String line, Map<String, String> headers, String body) {
        /**
         * Returns the request identifier from the headers.
         *
         * @return the identifier, or an empty string if the header is missing
         */
        public String requestId() {
            return headers.getOrDefault("x-azureshed-request-id", "");
        }
    }

    /** What the target does with one request. */
    public sealed interface Behaviour {
        /**
         * Runs the request and answers it.
         *
         * @param status HTTP status
         * @param millis time in ms from the arrival of the request to the response
         * @param body response body, ASCII
         */
        record Answer(int status, long millis, String body) implements Behaviour {}

        /** Rejects the request with 503 and the header that says it was not executed. */
        record Shed() implements Behaviour {}

        /** Runs the request and resets the connection. */
        record Reset() implements Behaviour {}

        /** Runs the request and closes the connection before the end of the response body. */
        record Truncated() implements Behaviour {}

        /** Runs the request and sends bytes that are not an HTTP response. */
        record Garbage() implements Behaviour {}

        /**
         * Runs the request once and sends the response twice.
         *
         * @param body body of both responses, ASCII
         */
        record Twice(String body) implements Behaviour {}

        /**
         * Runs the request, sends bytes without end and stops only when the caller closes.
         *
         * @param prefix sent once, ASCII; {@code ID} is replaced by the request identifier
         * @param repeated sent again and again, ASCII
         * @param pauseMillis pause after each repetition in ms; 0 to send as fast as possible
         */
        record Endless(String prefix, String repeated, long pauseMillis) implements Behaviour {}

        /**
         * Runs the request and answers it with its identifier as the body. Sends a second copy of
         * the answer on the same connection later.
         *
         * @param delayMillis time in ms from the answer to its copy; negative to send the copy when
         *     the next request arrives, before the answer to it
         */
        record LateCopy(long delayMillis) implements Behaviour {}

        /**
         * Answers the first request of a connection, and writes this answer once more when the next
         * request arrives there, before that one's own answer. Later requests run and get 200.
         *
         * @param status HTTP status of the first answer
         * @param executed whether the first request runs; if not, its answer says so
         * @param echo whether the first answer repeats the request identifier
         */
        record AnswerAgain(int status, boolean executed, boolean echo) implements Behaviour {}

        /**
         * Sends the first answer of a connection a second time and stops in the middle of its head.
         * The next request on the connection runs and gets its own, whole answer; the one after it
         * counts as the first again.
         *
         * @param firstStatus status of the answer that is copied; with 503, 429 or 421 its request
         *     does not run, otherwise it does
         * @param nextStatus status of the whole answer to the next request
         * @param cutAfter text of the head after which the copy stops; {@code ID} is replaced by
         *     the request identifier
         * @param delayMicros time in us from the answer to its copy; 0 to send both at once,
         *     negative to send the copy together with the next answer
         */
        record PartialCopy(int firstStatus, int nextStatus, String cutAfter, long delayMicros)
                implements Behaviour {
            private boolean runsFirst() {
                return !List.of(421, 429, 503).contains(firstStatus);
            }
        }

        /**
         * Runs the request, sends the beginning of an answer and ends the connection.
         *
         * @param text sent as it is, ASCII; {@code ID} is replaced by the request identifier
         * @param reset whether the connection is reset instead of closed
         */
        record Cut(String text, boolean reset) implements Behaviour {}

        /**
         * Runs the request and sends an answer as it is.
         *
         * @param text the answer, ASCII; {@code ID} is replaced by the request identifier
         */
        record Raw(String text) implements Behaviour {}

        /**
         * Answers, and later sends a second copy of the answer, or the beginning of it, on the same
         * connection. With status 503 the request does not run, otherwise it does.
         *
         * @param status HTTP status of the answer
         * @param millis run time in ms
         * @param body body of the answer, ASCII
         * @param share part of the head that the copy holds; 1 or more for a whole copy with its
         *     body
         * @param delayMillis time in ms from the answer to its copy; negative to send the copy
         *     before the next answer of this kind on the connection
         */
        record CutCopy(int status, long millis, String body, double share, long delayMillis)
                implements Behaviour {}

        /** Runs the request and never answers. */
        record NoAnswer() implements Behaviour {}

        /**
         * Returns the default behaviour.
         *
         * @return an immediate response with status 200
         */
        static Behaviour answer() {
            return new Answer(200, 0, "ok");
        }
    }

    /**
     * Starts a target.
     *
     * @param host IP address to listen on
     * @param port port to listen on
     * @param id target identifier; requests for another instance get 421
     * @param behaviour chooses what to do with each request
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
     * Replaces the function that chooses what to do with each request.
     *
     * @param next applies to requests that arrive from now on
     */
    public void behaviour(Function<Request, Behaviour> next) {
        behaviour = next;
    }

    /**
     * Returns the requests that the target has started to run.
     *
     * @return a live, thread-safe list in the order of arrival
     */
    public List<Request> executions() {
        return executions;
    }

    /**
     * Returns the identifiers of the requests that {@link Behaviour.AnswerAgain} answered with its
     * status.
     *
     * @return a live, thread-safe set
     */
    public Set<String> firstAnswers() {
        return firstAnswers;
    }

    /**
     * Returns the statuses of the answers of {@link Behaviour.PartialCopy} to one request.
     *
     * @param requestId the request identifier
     * @return the statuses in the order of the answers; empty if there was none
     */
    public List<Integer> statuses(String requestId) {
        return statuses.getOrDefault(requestId, List.of());
    }

    /**
     * Counts the responses without end that callers have not ended yet.
     *
     * @return 0 if no connection carries such a response
     */
    public int endlessResponses() {
        return endlessResponses.get();
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
                Request request = RequestReader.read(in);
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
        if (refuses(chosen, request, socket, out)) {
            return true;
        }
        executions.add(request);
        switch (chosen) {
            case Behaviour.PartialCopy partial -> {
                String late = lateCopies.remove(socket);
                if (late == null) {
                    sendWithPartialCopy(partial, request, socket, out);
                } else {
                    write(out, late + response(request, partial.nextStatus(), "own"));
                }
            }
            case Behaviour.AnswerAgain again -> {
                String late = lateCopies.get(socket);
                if (late == null) {
                    late = firstAnswer(request, again);
                    lateCopies.put(socket, late);
                    write(out, late);
                } else {
                    write(out, late + completeResponse(request, 200, "ok"));
                }
            }
            case Behaviour.Answer answer -> {
                TimeUnit.MILLISECONDS.sleep(answer.millis());
                write(out, completeResponse(request, answer.status(), answer.body()));
            }
            case Behaviour.Reset ignored -> {
                socket.setOption(StandardSocketOptions.SO_LINGER, 0);
                return false;
            }
            case Behaviour.Raw raw -> write(out, raw.text().replace("ID", request.requestId()));
            case Behaviour.Cut cut -> {
                write(out, cut.text().replace("ID", request.requestId()));
                if (cut.reset()) {
                    socket.setOption(StandardSocketOptions.SO_LINGER, 0);
                }
                return false;
            }
            case Behaviour.Truncated ignored -> {
                String answer = completeResponse(request, 200, "half of an answer");
                write(out, answer.substring(0, answer.length() - 5));
                return false;
            }
            case Behaviour.Garbage ignored -> write(out, "\u0001\u0002 no answer\r\n\r\n");
            case Behaviour.Twice twice -> {
                String answer = completeResponse(request, 200, twice.body());
                write(out, answer + answer);
            }
            case Behaviour.LateCopy copy -> {
                String answer = completeResponse(request, 200, request.requestId());
                String late = lateCopies.remove(socket);
                write(out, late == null ? answer : late + answer);
                if (copy.delayMillis() < 0) {
                    lateCopies.put(socket, answer);
                } else {
                    TimeUnit.MILLISECONDS.sleep(copy.delayMillis());
                    write(out, answer);
                }
            }
            case Behaviour.CutCopy copy -> sendWithCutCopy(copy, request, socket, out);
            case Behaviour.Endless endless -> sendEndlessly(endless, request, out);
            default -> TimeUnit.SECONDS.sleep(30);
        }
        return true;
    }

    /** Refuses a request without running it if the behaviour says so; false if it is to run. */
    private boolean refuses(Behaviour chosen, Request request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        boolean first = !lateCopies.containsKey(socket);
        switch (chosen) {
            case Behaviour.Shed ignored ->
                    write(
                            out,
                            "HTTP/1.1 503 Service Unavailable\r\nX-Azureshed-Not-Executed: 1\r\n"
                                    + "Content-Length: 0\r\n\r\n");
            case Behaviour.AnswerAgain again when first && !again.executed() -> {
                String answer = firstAnswer(request, again);
                lateCopies.put(socket, answer);
                write(out, answer);
            }
            case Behaviour.CutCopy copy when copy.status() == 503 ->
                    sendWithCutCopy(copy, request, socket, out);
            case Behaviour.PartialCopy partial when first && !partial.runsFirst() ->
                    sendWithPartialCopy(partial, request, socket, out);
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Answers a request and sends a begun copy of the answer, or keeps it for the next one. */
    private void sendWithPartialCopy(
            Behaviour.PartialCopy partial, Request request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        String answer = response(request, partial.firstStatus(), "first");
        String cutAfter = partial.cutAfter().replace("ID", request.requestId());
        String copy = answer.substring(0, answer.indexOf(cutAfter) + cutAfter.length());
        if (partial.delayMicros() == 0) {
            write(out, answer + copy);
        } else {
            write(out, answer);
        }
        if (partial.delayMicros() > 0) {
            TimeUnit.MICROSECONDS.sleep(partial.delayMicros());
            write(out, copy);
        }
        lateCopies.put(socket, partial.delayMicros() < 0 ? copy : "");
    }

    private void sendWithCutCopy(
            Behaviour.CutCopy copy, Request request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(copy.millis());
        String answer = response(request, copy.status(), copy.body());
        int cut = (int) (copy.share() * answer.indexOf("\r\n\r\n"));
        String second = copy.share() < 1 ? answer.substring(0, cut) : answer;
        String held = lateCopies.remove(socket);
        write(out, (held == null ? "" : held) + answer);
        if (copy.delayMillis() < 0) {
            lateCopies.put(socket, second);
        } else {
            TimeUnit.MILLISECONDS.sleep(copy.delayMillis());
            write(out, second);
        }
    }

    /** Returns an answer whose first header is not the request identifier, and notes its status. */
    private String response(Request request, int status, String body) {
        statuses.computeIfAbsent(request.requestId(), id -> new CopyOnWriteArrayList<>())
                .add(status);
        boolean executed = !List.of(421, 429, 503).contains(status);
        return "HTTP/1.1 "
                + status
                + " Status\r\nContent-Type: text/plain\r\n"
                + (executed ? "" : "X-Azureshed-Not-Executed: 1\r\n")
                + "X-Azureshed-Request-Id: "
                + request.requestId()
                + (executed ? "\r\nX-Azureshed-Response-Signature: s." + request.requestId() : "")
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private void sendEndlessly(Behaviour.Endless endless, Request request, OutputStream out)
            throws IOException, InterruptedException {
        endlessResponses.incrementAndGet();
        try {
            write(out, endless.prefix().replace("ID", request.requestId()));
            while (true) {
                write(out, endless.repeated());
                TimeUnit.MILLISECONDS.sleep(endless.pauseMillis());
            }
        } finally {
            endlessResponses.decrementAndGet();
        }
    }

    /** Returns an answer that is no success, without a body. */
    private String firstAnswer(Request request, Behaviour.AnswerAgain again) {
        firstAnswers.add(request.requestId());
        boolean saysNotExecuted = !again.executed() && again.status() != 421;
        return "HTTP/1.1 "
                + again.status()
                + " Status\r\n"
                + (saysNotExecuted ? "X-Azureshed-Not-Executed: 1\r\n" : "")
                + (again.echo() ? "X-Azureshed-Request-Id: " + request.requestId() + "\r\n" : "")
                + "Content-Length: 0\r\n\r\n";
    }

    private static String completeResponse(Request request, int status, String body) {
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
}
