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
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.Endpoint;
import org.junit.jupiter.api.Test;

/**
 * Guards against a pooled connection that stays with reading switched off, because the receiver of
 * its last response was slow, so that the next call gets no answer.
 */
class PausedConnectionTest {
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final int REQUEST_LINE_LENGTH = "GET / HTTP/1.1\r\n\r\n".length();

    @Test
    void nextCallReadsItsResponse() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
                MultiThreadIoEventLoopGroup group =
                        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())) {
            Thread.startVirtualThread(() -> serve(server));
            EventLoop loop = group.next();
            ConnectionPool pool =
                    new ConnectionPool(loop, 500, 30_000, List.of(), new RecordingEvents());
            Endpoint address = new Endpoint("127.0.0.1", server.getLocalPort());
            Call first = new Call(loop, pool, address, true);
            assertEquals("ok", first.ended.get(5, TimeUnit.SECONDS));
            // The connection returns to the pool at the end of the read batch.
            loop.submit(() -> {}).sync();
            Call second = new Call(loop, pool, address, false);
            assertEquals("ok", second.ended.get(5, TimeUnit.SECONDS));
        }
    }

    /** Answers the requests of the first connection only. */
    private static void serve(ServerSocket server) {
        try (Socket socket = server.accept()) {
            while (socket.getInputStream().readNBytes(REQUEST_LINE_LENGTH).length > 0) {
                socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException closed) {
            // The test ended.
        }
    }

    private static final class Call implements CallListener {
        private final CompletableFuture<String> ended = new CompletableFuture<>();
        private final StringBuilder body = new StringBuilder();
        private final EventLoop loop;
        private final boolean pauses;
        private ClientConnection connection;

        Call(EventLoop loop, ConnectionPool pool, Endpoint address, boolean pauses) {
            this.loop = loop;
            this.pauses = pauses;
            loop.execute(() -> connection = pool.acquire(address, Long.MAX_VALUE, this));
        }

        @Override
        public void connected(ClientConnection connected) {
            connection = connected;
            connection.write(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
            connection.flush();
        }

        @Override
        public boolean head(HttpResponse response) {
            return true;
        }

        @Override
        public void content(ByteBuf data) {
            body.append(data.toString(StandardCharsets.US_ASCII));
            if (pauses) {
                connection.setAutoRead(false);
            }
        }

        @Override
        public void end() {
            ended.complete(body.toString());
        }

        @Override
        public void failed(CallFailure failure) {
            ended.completeExceptionally(new IOException(failure.name()));
        }
    }
}
