import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * An instance answers a long request before it has read the body, without a length, and its
 * connection is reset in the middle of the answer. Without trouble it reads the request, sends the
 * whole answer and closes.
 */
final class ResetWhileWriting {
    private static final int REQUESTS = 5;
    private static final int REQUEST_BYTES = 10_000_000;
    private static final int ANSWER_BYTES = 20_000;
    private static final int SENT_BYTES = 5_000;

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], ResetWhileWriting::run);
    }

    static int run(Kit kit) throws Exception {
        Store store = new Store(kit);
        store.put("config", "main", AckBeforeStored.CONFIGURATION.trim());
        Kit.Node front = kit.node(1, "front");
        Kit.Node back = kit.node(2, "back");
        front.start();
        back.start();
        Kit.Instance caller = kit.instance(front, "i-front");
        Kit.Instance server = kit.instance(back, "i-back");
        server.answers = (request, in, socket) -> answer(kit, server, request, in, socket);
        front.awaitReady(20_000);
        back.awaitReady(20_000);
        caller.register();
        server.register();
        Thread.sleep(2_500);

        int whole = 0;
        int short200 = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Kit.Message answer = send(kit, front, i);
            if (answer == null || answer.status / 100 != 2 || !answer.complete) {
                continue;
            }
            if (answer.body.length == ANSWER_BYTES) {
                whole++;
            } else {
                short200++;
            }
            Thread.sleep(300);
        }
        kit.note(
                "%d requests ran; %d successes with the whole body, %d that looked complete and"
                        + " had a part of it",
                server.runs.size(), whole, short200);
        if (server.runs.isEmpty()) {
            return Kit.NOT_RUN;
        }
        return short200 > 0 ? Kit.BROKEN : Kit.HELD;
    }

    private static void answer(
            Kit kit, Kit.Instance server, Kit.Message head, InputStream in, Socket socket)
            throws IOException, InterruptedException {
        String id = head.header("X-Azureshed-Request-Id");
        if (!kit.trouble) {
            in.readNBytes(Integer.parseInt(head.header("Content-Length")));
        }
        server.ran(head);
        OutputStream out = socket.getOutputStream();
        String answer =
                "HTTP/1.1 200 OK\r\nX-Azureshed-Request-Id: "
                        + id
                        + "\r\nX-Azureshed-Response-Signature: s."
                        + id
                        + "\r\nConnection: close\r\n\r\n"
                        + "x".repeat(kit.trouble ? SENT_BYTES : ANSWER_BYTES);
        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        if (kit.trouble) {
            Thread.sleep(200);
            socket.setOption(StandardSocketOptions.SO_LINGER, 0);
            kit.note("connection of %s is reset after a part of its answer", id);
        }
        socket.close();
    }

    private static Kit.Message send(Kit kit, Kit.Node front, int number) {
        String id = kit.newId();
        kit.note("request %s sent at m%d, %d bytes", id, front.machine, REQUEST_BYTES);
        Map<String, String> headers = new TreeMap<>();
        headers.put("Host", "shop.example");
        headers.put("X-Azureshed-Request-Id", id);
        headers.put("X-Azureshed-Deadline-Ms", "3000");
        try {
            Kit.Message answer =
                    Kit.call(
                            front.ip,
                            kit.outboundPort(),
                            "POST",
                            "/pozo/" + number,
                            headers,
                            "b".repeat(REQUEST_BYTES),
                            5_000);
            kit.note(
                    "request %s answered %d, %s, %d bytes%s",
                    id,
                    answer.status,
                    answer.complete ? "complete" : "cut",
                    answer.body.length,
                    answer.header("X-Azureshed-Response-Signature").isEmpty()
                            ? ""
                            : ", with the signature");
            return answer;
        } catch (IOException e) {
            kit.note("request %s: %s", id, e.getMessage());
            return null;
        }
    }
}
