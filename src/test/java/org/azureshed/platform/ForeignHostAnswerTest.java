package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azureshed.platform.standin.ProtocolRequests;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the entry side of a whole node with a host side that mixes up its responses. */
class ForeignHostAnswerTest {
    /**
     * A host side responds with the answer to another request, or before it has the body. No caller
     * gets that answer, and the connection is not used again.
     */
    @ParameterizedTest(name = "{0}, after the body: {1}")
    @CsvSource({
        "200 OK, true, X-Azureshed-Request-Id: other, 502, foreign_answer",
        "404 Not Found, true, X-Azureshed-Request-Id: other, 502, foreign_answer",
        "200 OK, true, X-Unrelated: 1, 502, foreign_answer",
        "200 OK, false, X-Azureshed-Request-Id: id-1, 503, early_answer",
        "404 Not Found, false, X-Azureshed-Request-Id: id-1, 503, early_answer",
    })
    void answerToAnotherRequestIsNotBelieved(
            String line, boolean afterBody, String idHeader, int status, String anomaly)
            throws Exception {
        CompletableFuture<String> rest = new CompletableFuture<>();
        Received received = call(line, afterBody, idHeader, rest);
        assertEquals(status, received.response().statusCode(), received::log);
        assertEquals("", received.response().body());
        assertTrue(received.log().contains("event=" + anomaly), received::log);
        assertEquals("closed", rest.get(5, TimeUnit.SECONDS));
    }

    /** Guards against a check that rejects sound answers. */
    @ParameterizedTest
    @CsvSource({
        "200 OK, X-Azureshed-Request-Id: id-1, 200",
        "404 Not Found, X-Azureshed-Request-Id: id-1, 404",
        "400 Bad Request, X-Unrelated: 1, 400",
    })
    void ownAnswerIsDelivered(String line, String idHeader, int status) throws Exception {
        Received received = call(line, true, idHeader, new CompletableFuture<>());
        assertEquals(status, received.response().statusCode(), received::log);
        assertEquals("answer", received.response().body());
    }

    private record Received(HttpResponse<String> response, String log) {}

    private static Received call(
            String line, boolean afterBody, String idHeader, CompletableFuture<String> rest)
            throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("web");
                ServerSocket host =
                        new ServerSocket(
                                SidecarFleet.HOST_PORT, 8, InetAddress.getByName(fleet.ip(9)))) {
            Thread.startVirtualThread(() -> serve(host, line, afterBody, idHeader, rest));
            fleet.store.putRaw(
                    "azureshed-nodes",
                    "host",
                    "{\"node\":\"host\",\"az\":\"az-0\",\"at\":\""
                            + fleet.address(9, SidecarFleet.HOST_PORT)
                            + "\",\"incarnation\":5,\"revision\":0,\"target\":{\"id\":\"i-host\","
                            + "\"born\":1,\"service\":\"shop\",\"slots\":4,"
                            + "\"condition\":\"SERVING\"}}");
            fleet.addTarget(1);
            fleet.start(1, "web", true);
            SidecarFleet.await("node 1 is ready", () -> fleet.ready(1));
            HttpResponse<String> response =
                    ProtocolRequests.request(
                            fleet.client,
                            "POST",
                            fleet.address(1, SidecarFleet.ENTRY_PORT),
                            "/write/a",
                            "content",
                            "id-1",
                            5_000);
            // The log is written by a thread of its own.
            SidecarFleet.await(
                    "the request is logged", () -> fleet.log().contains("event=request "));
            return new Received(response, fleet.log());
        }
    }

    /** Answers the first offer and tells what follows it on the connection. */
    private static void serve(
            ServerSocket host,
            String line,
            boolean afterBody,
            String idHeader,
            CompletableFuture<String> rest) {
        try (Socket socket = host.accept();
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.ISO_8859_1))) {
            String answer =
                    "HTTP/1.1 "
                            + line
                            + "\r\nAzureshed-Outcome: completed\r\n"
                            + idHeader
                            + "\r\nX-Azureshed-Response-Signature: s\r\nContent-Length: 6\r\n\r\n"
                            + "answer";
            skipTo("", in);
            if (afterBody) {
                write(socket, "HTTP/1.1 100 Continue\r\n\r\n");
                skipTo("0", in);
                skipTo("", in);
            }
            write(socket, answer);
            String next = in.readLine();
            rest.complete(next == null ? "closed" : next);
        } catch (IOException e) {
            rest.complete("closed");
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void skipTo(String wanted, BufferedReader in) throws IOException {
        String line = in.readLine();
        while (line != null && !line.equals(wanted)) {
            line = in.readLine();
        }
    }
}
