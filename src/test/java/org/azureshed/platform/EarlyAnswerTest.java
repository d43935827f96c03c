package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.azureshed.platform.standin.ProtocolRequests;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks a whole node whose target answers before it has read a long body. */
class EarlyAnswerTest {
    private static final String ID = "long-body";

    private static final String ANSWER_HEAD =
            "HTTP/1.1 200 OK\r\nX-Azureshed-Request-Id: "
                    + ID
                    + "\r\nX-Azureshed-Response-Signature: s\r\n";

    /** More than the socket buffers of both ends hold. */
    private static final int BODY_BYTES = 12_000_000;

    /** A target answers a request after its head and reads the body later. The answer counts. */
    @ParameterizedTest(name = "status {0}")
    @ValueSource(ints = {200, 404, 500})
    void answerBeforeTheEndOfTheBodyIsDelivered(int status) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop");
                ServerSocket server = new ServerSocket()) {
            allowLongBodies(fleet);
            fleet.targets.getFirst().close();
            bind(server, new InetSocketAddress(fleet.ip(0), SidecarFleet.TARGET_PORT));
            Thread.startVirtualThread(
                    () -> accept(server, socket -> answerBeforeTheBody(socket, status)));
            HttpResponse<String> response = sendLongBody(fleet);
            assertEquals(status, response.statusCode(), fleet::log);
            assertEquals("ok", response.body());
        }
    }

    /**
     * Guards against a reset that is met by a write of the request's body, and leaves an answer
     * without a length looking complete.
     */
    @Test
    void answerThatIsResetWhileTheBodyIsWrittenIsNotDelivered() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop");
                ServerSocket server = new ServerSocket()) {
            allowLongBodies(fleet);
            fleet.targets.getFirst().close();
            bind(server, new InetSocketAddress(fleet.ip(0), SidecarFleet.TARGET_PORT));
            Thread.startVirtualThread(() -> accept(server, EarlyAnswerTest::resetWithinTheAnswer));
            HttpResponse<String> response = sendLongBody(fleet);
            assertEquals(502, response.statusCode(), fleet::log);
        }
    }

    private static void resetWithinTheAnswer(Socket socket)
            throws IOException, InterruptedException {
        write(socket.getOutputStream(), ANSWER_HEAD + "\r\na part");
        Thread.sleep(200);
        socket.setOption(StandardSocketOptions.SO_LINGER, 0);
    }

    private static HttpResponse<String> sendLongBody(SidecarFleet fleet) throws Exception {
        return ProtocolRequests.request(
                fleet.client,
                "POST",
                fleet.address(0, SidecarFleet.ENTRY_PORT),
                "/write/a",
                "x".repeat(BODY_BYTES),
                ID,
                5_000);
    }

    private static void allowLongBodies(SidecarFleet fleet) throws Exception {
        ObjectNode configuration = SidecarFleet.configuration(2);
        for (JsonNode resource : configuration.path("resources")) {
            if (resource.path("resourceType").asText().equals("limits")) {
                ((ObjectNode) resource.path("specification")).put("maxBodyBytes", 2 * BODY_BYTES);
            }
        }
        fleet.store.put("config", "main", configuration);
        AtomicBoolean inForce = new AtomicBoolean();
        for (int i = 0; i < 200 && !inForce.get(); i++) {
            fleet.request(0, "GET", "/read/a", "probe-" + i);
            inForce.set(fleet.log().contains("config=2"));
            Thread.sleep(20);
        }
    }

    /** Binds to the port of the closed stand-in, which its accepting thread may still hold. */
    private static void bind(ServerSocket server, InetSocketAddress address) throws Exception {
        server.setReuseAddress(true);
        server.setReceiveBufferSize(16 << 10);
        for (int i = 0; i < 100 && !server.isBound(); i++) {
            try {
                server.bind(address);
            } catch (BindException e) {
                Thread.sleep(20);
            }
        }
    }

    /** Answers the request with the long body after its head. */
    private interface Answer {
        void send(Socket socket) throws IOException, InterruptedException;
    }

    private static void answerBeforeTheBody(Socket socket, int status)
            throws IOException, InterruptedException {
        String head = ANSWER_HEAD.replace("200 OK", status + " Status");
        write(socket.getOutputStream(), head + "Content-Length: 2\r\n\r\nok");
        Thread.sleep(300);
        socket.getInputStream().transferTo(OutputStream.nullOutputStream());
    }

    private static void accept(ServerSocket server, Answer answer) {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread.startVirtualThread(() -> serve(socket, answer));
            }
        } catch (IOException closed) {
            // The test ended.
        }
    }

    private static void serve(Socket socket, Answer answer) {
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            while (true) {
                if (readHead(in).contains(ID)) {
                    answer.send(socket);
                    return;
                }
                write(out, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        } catch (IOException closed) {
            // The node closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
