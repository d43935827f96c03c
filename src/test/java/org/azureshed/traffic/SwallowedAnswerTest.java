package org.azureshed.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.Endpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a call that waits until its deadline because its response was taken for a part of
 * the response skipped before it.
 */
class SwallowedAnswerTest {
    private static final int REQUEST_LENGTH = "GET / HTTP/1.1\r\n\r\n".length();

    /** Body of the response that is swallowed; its end forms no line. */
    private static final String OWN = "o".repeat(400);

    private static final String OWN_HEAD =
            "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 400\r\n\r\n";

    @ParameterizedTest(name = "{0} bytes are missing from the copy, pause of {1} ms")
    @CsvSource({"10,0", "38,0", "200,0", "900,0", "200,20"})
    void callEndsSoonAfterItsResponseIsSwallowed(int missing, long pauseMillis) throws Exception {
        assertEquals("MALFORMED", play(copy(missing), pauseMillis, OWN_HEAD + OWN));
    }

    @ParameterizedTest(name = "first part has {0} bytes, pause of {1} ms")
    @CsvSource({"0,500", "3,20", "20,20", "60,20"})
    void responseInPartsFollowsASkippedOne(int bytes, long pauseMillis) throws Exception {
        String own = OWN_HEAD + OWN;
        assertEquals(
                "end", play(copy(0) + own.substring(0, bytes), pauseMillis, own.substring(bytes)));
    }

    private static String copy(int missing) {
        return "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 1000\r\n\r\n"
                + "c".repeat(1_000 - missing);
    }

    /** Sends the bytes as the answer to a call and returns how it ended. */
    private static String play(String first, long pauseMillis, String second) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
                MultiThreadIoEventLoopGroup group =
                        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())) {
            Thread.startVirtualThread(
                    () -> {
                        try (Socket socket = server.accept()) {
                            socket.getInputStream().readNBytes(REQUEST_LENGTH);
                            write(socket, first);
                            TimeUnit.MILLISECONDS.sleep(pauseMillis);
                            write(socket, second);
                            socket.getInputStream().read();
                        } catch (Exception closed) {
                            // The test ended.
                        }
                    });
            EventLoop loop = group.next();
            ConnectionPool pool =
                    new ConnectionPool(loop, 500, 30_000, List.of(), new RecordingEvents());
            Endpoint address = new Endpoint("127.0.0.1", server.getLocalPort());
            Call call = new Call();
            loop.execute(() -> pool.acquire(address, Long.MAX_VALUE, call));
            return call.ended.get(2, TimeUnit.SECONDS);
        }
    }

    private static void write(Socket socket, String text) throws Exception {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static final class Call implements CallListener {
        private final CompletableFuture<String> ended = new CompletableFuture<>();

        @Override
        public void connected(ClientConnection connection) {
            connection.write(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
            connection.flush();
        }

        @Override
        public boolean head(HttpResponse response) {
            return response.headers().get("X-Id").equals("own");
        }

        @Override
        public void content(ByteBuf data) {}

        @Override
        public void end() {
            ended.complete("end");
        }

        @Override
        public void failed(CallFailure failure) {
            ended.complete(failure.name());
        }
    }
}
