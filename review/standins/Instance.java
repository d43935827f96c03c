import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;

/**
 * A sound application instance: runs up to {@code slots} requests at the same time, answers 421 to
 * requests for another instance, rejects requests beyond its slots as not executed, and sends
 * check-ins to its node.
 */
final class Instance implements AutoCloseable {
    /** A run of one request; times are those of the record. */
    record Run(String instance, String requestId, String line, long startMillis) {}

    final String id;
    final String ip;
    final String service;
    final int slots;
    final long born = System.currentTimeMillis();
    final List<Run> runs = new CopyOnWriteArrayList<>();

    /** Ids of requests that the instance is running now. */
    final Map<String, Long> atWork = new ConcurrentHashMap<>();

    private final int port;
    private final int controlPort;
    private final Record record;
    private final Semaphore free;
    private final ServerSocket server;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile long workMillis;
    private volatile int answerBytes = 200;
    private volatile boolean checkIns = true;
    private volatile String state = "ready";
    private long sequence;

    Instance(
            String id, String ip, int port, int controlPort, String service, int slots, Record record)
            throws IOException {
        this.id = id;
        this.ip = ip;
        this.port = port;
        this.controlPort = controlPort;
        this.service = service;
        this.slots = slots;
        this.record = record;
        this.free = new Semaphore(slots);
        this.server = new ServerSocket(port, 128, InetAddress.getByName(ip));
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::sendCheckIns);
    }

    void workMillis(long millis) {
        workMillis = millis;
    }

    void answerBytes(int bytes) {
        answerBytes = bytes;
    }

    void stopCheckIns() {
        checkIns = false;
    }

    /** The body of the next check-in in the current state. */
    synchronized String nextCheckIn() {
        sequence++;
        return checkIn(state, sequence);
    }

    private String checkIn(String checkInState, long number) {
        return "{\"address\":\"%s:%d\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"a\",\"slots\":%d},\"status\":{\"state\":\"%s\",\"sequence\":%d,\"warmupLeftMs\":0}}"
                .formatted(ip, port, born, service, slots, checkInState, number);
    }

    /** Sends a check-in body to the node; returns the status, or -1 without an answer. */
    int put(String body) {
        return Http.call(ip, controlPort, "PUT", "/instances/" + id, body, 1_000);
    }

    /** Reports the departure; returns the status, or -1 without an answer. */
    int delete() {
        return Http.call(ip, controlPort, "DELETE", "/instances/" + id, "", 1_000);
    }

    private void sendCheckIns() {
        try {
            while (!server.isClosed()) {
                if (checkIns) {
                    put(nextCheckIn());
                }
                Thread.sleep(1_500);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The instance has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.read(in, true);
                if (request == null) {
                    return;
                }
                answer(request, out);
            }
        } catch (IOException | InterruptedException closed) {
            // The node closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    private void answer(Http.Message request, OutputStream out)
            throws IOException, InterruptedException {
        String requestId = request.header("x-azureshed-request-id");
        String expected = request.header("x-azureshed-expected-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            out.write(
                    ("HTTP/1.1 421 Misdirected Request\r\nX-Azureshed-Instance-Id: "
                                    + id
                                    + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        if (!free.tryAcquire()) {
            out.write(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Azureshed-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                            .getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        try {
            runs.add(new Run(id, requestId, request.firstLine(), record.now()));
            atWork.put(requestId, record.now());
            record.line("run " + id + " " + requestId + " begins");
            long budget = Long.parseLong("0" + request.header("x-azureshed-deadline-ms"));
            boolean inTime = budget == 0 || workMillis <= budget;
            Thread.sleep(inTime ? workMillis : budget);
            record.line("run " + id + " " + requestId + " ends");
            byte[] body = new byte[inTime ? answerBytes : 0];
            java.util.Arrays.fill(body, (byte) 'a');
            String head =
                    "HTTP/1.1 "
                            + (inTime ? "200 OK" : "504 Gateway Timeout")
                            + "\r\nX-Azureshed-Request-Id: "
                            + requestId
                            + "\r\nX-Azureshed-Response-Signature: s."
                            + requestId
                            + "\r\nContent-Length: "
                            + body.length
                            + "\r\n\r\n";
            atWork.remove(requestId);
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
        } finally {
            atWork.remove(requestId);
            free.release();
        }
    }

    /** Ends the instance: closes its listener and its connections. */
    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : new ArrayList<>(sockets)) {
            socket.close();
        }
    }
}
