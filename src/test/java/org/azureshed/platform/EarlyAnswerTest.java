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
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.azureshed.platform.standin.ProtocolRequests;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks a whole node whose target answers before it has read a long body. */
class EarlyAnswerTest {
    private static final String ID = "long-body";

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
            Thread.startVirtualThread(() -> accept(server, status));
            HttpResponse<String> response =
                    ProtocolRequests.request(
                            fleet.client,
                            "POST",
                            fleet.address(0, SidecarFleet.ENTRY_PORT),
                            "/write/a",
                            "x".repeat(BODY_BYTES),
                            ID,
                            5_000);
            assertEquals(status, response.statusCode(), fleet::log);
            assertEquals("ok", response.body());
        }
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

    private static void accept(ServerSocket server, int status) {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread.startVirtualThread(() -> serve(socket, status));
            }
        } catch (IOException closed) {
            // The test ended.
        }
    }

    private static void serve(Socket socket, int status) {
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            while (true) {
                if (readHead(in).contains(ID)) {
                    String head = "HTTP/1.1 " + status + " Status\r\nX-Azureshed-Request-Id: " + ID;
                    write(out, head + "\r\nX-Azureshed-Response-Signature: s\r\n");
                    write(out, "Content-Length: 2\r\n\r\nok");
                    Thread.sleep(300);
                    in.transferTo(OutputStream.nullOutputStream());
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
