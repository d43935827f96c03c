import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A requester that keeps one connection to a node and sends one request at a time on it. */
final class Requester implements AutoCloseable {
    /**
     * What became of one request.
     *
     * @param status status of the answer; 0 if the connection ended or nothing came in time
     * @param signed whether the answer bears an instance's signature
     */
    record Outcome(
            String id, long sentMillis, long endMillis, int status, boolean signed, String note) {}

    static final List<Outcome> outcomes = new CopyOnWriteArrayList<>();

    private final String ip;
    private final int port;
    private final Record record;
    private Socket socket;
    private InputStream in;

    Requester(String ip, int port, Record record) {
        this.ip = ip;
        this.port = port;
        this.record = record;
    }

    /** Sends a request and waits for its answer, for as long as the deadline says. */
    Outcome send(String method, String path, String id, int deadlineMillis, String body) {
        long sent = record.now();
        Outcome outcome;
        try {
            if (socket == null) {
                socket = new Socket();
                socket.connect(new InetSocketAddress(ip, port), 1_000);
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.setSoTimeout(deadlineMillis);
            String head =
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: shop.example\r\nX-Azureshed-Request-Id: "
                            + id
                            + "\r\nX-Azureshed-Deadline-Ms: "
                            + deadlineMillis
                            + (method.equals("GET")
                                    ? ""
                                    : "\r\nContent-Length: " + body.length())
                            + "\r\n\r\n";
            sent = record.now();
            record.line("sent " + id + " to " + ip);
            socket.getOutputStream()
                    .write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            Http.Message answer = Http.read(in, false);
            if (answer == null) {
                outcome = new Outcome(id, sent, record.now(), 0, false, "closed");
                close();
            } else {
                boolean signed = !answer.header("x-azureshed-response-signature").isEmpty();
                outcome = new Outcome(id, sent, record.now(), answer.status(), signed, "");
                if (!answer.keepsConnection()) {
                    close();
                }
            }
        } catch (IOException e) {
            outcome = new Outcome(id, sent, record.now(), 0, false, e.toString());
            close();
        }
        record.line("answered " + outcome);
        outcomes.add(outcome);
        return outcome;
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException ignored) {
            // Nothing is left to close.
        }
        socket = null;
    }
}
