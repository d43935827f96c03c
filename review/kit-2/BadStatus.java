import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * A faulty instance sends bytes that are not a response: the status is no number of three digits.
 * Without trouble its statuses are sound.
 */
final class BadStatus {
    private static final String[] BAD = {"1000", "2000", "099", "20", "5"};
    private static final String[] SOUND = {"200", "404", "500", "201", "410"};

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], BadStatus::run);
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
        String[] statuses = kit.trouble ? BAD : SOUND;
        server.answers =
                (request, in, socket) ->
                        answer(server, statuses[server.runs.size()], request, in, socket);
        front.awaitReady(20_000);
        back.awaitReady(20_000);
        caller.register();
        server.register();
        Thread.sleep(2_500);

        int noAnswer = 0;
        for (int i = 0; i < statuses.length && server.runs.size() < statuses.length; i++) {
            String line = send(kit, front, i);
            if (!line.isEmpty() && !line.matches("HTTP/1\\.[01] [1-9]\\d\\d( .*)?")) {
                noAnswer++;
            }
            // A failing target gets few requests for some seconds.
            Thread.sleep(4_000);
        }
        kit.note("%d requests ran; %d got bytes that are no answer", server.runs.size(), noAnswer);
        if (server.runs.isEmpty()) {
            return Kit.NOT_RUN;
        }
        return noAnswer > 0 ? Kit.BROKEN : Kit.HELD;
    }

    private static void answer(
            Kit.Instance server, String status, Kit.Message head, InputStream in, Socket socket)
            throws IOException {
        server.ran(head);
        String id = head.header("X-Azureshed-Request-Id");
        String answer =
                "HTTP/1.1 "
                        + status
                        + " X\r\nX-Azureshed-Request-Id: "
                        + id
                        + "\r\nX-Azureshed-Response-Signature: s."
                        + id
                        + "\r\nContent-Length: 2\r\n\r\nok";
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        // The instance keeps the connection until the node ends it.
        socket.setSoTimeout(2_000);
        in.read();
    }

    /** Returns the first line of what the requester gets; empty if the connection ends. */
    private static String send(Kit kit, Kit.Node front, int number) {
        String id = kit.newId();
        Map<String, String> headers = new TreeMap<>();
        headers.put("Host", "shop.example");
        headers.put("X-Azureshed-Request-Id", id);
        headers.put("X-Azureshed-Deadline-Ms", "3000");
        kit.note("request %s sent at m%d", id, front.machine);
        try {
            Kit.Message answer =
                    Kit.call(
                            front.ip,
                            kit.outboundPort(),
                            "POST",
                            "/pozo/" + number,
                            headers,
                            null,
                            5_000);
            kit.note("request %s gets \"%s\", %d bytes", id, answer.line, answer.body.length);
            return answer.line;
        } catch (IOException e) {
            kit.note("request %s: %s", id, e.getMessage());
            return "";
        }
    }
}
