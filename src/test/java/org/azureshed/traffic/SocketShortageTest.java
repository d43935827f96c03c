package org.azureshed.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.azureshed.model.Endpoint;
import org.junit.jupiter.api.Test;

/** Checks calls of a process that has no descriptor left for a socket. */
class SocketShortageTest {
    /**
     * Guards against a call that throws instead of reporting its failure, which ends the watch or
     * the writer that made it.
     */
    @Test
    void callWithoutASocketFailsAndALaterOneSucceeds() throws Exception {
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", call -> call.sendResponseHeaders(200, -1));
        server.start();
        try {
            EventLoop loop = group.next();
            RecordingEvents events = new RecordingEvents();
            AtomicBoolean exhausted = new AtomicBoolean(true);
            ConnectionPool pool =
                    new ConnectionPool(
                            loop,
                            300,
                            1_000,
                            List.of(),
                            events,
                            () -> {
                                if (exhausted.get()) {
                                    throw new ChannelException("too many open files");
                                }
                                return new PeekableSocketChannel();
                            });
            ControlClient client = new ControlClient(loop, pool, events);
            Endpoint address = new Endpoint("127.0.0.1", server.getAddress().getPort());
            assertInstanceOf(ControlClient.Result.NoResponse.class, call(loop, client, address));
            exhausted.set(false);
            assertInstanceOf(ControlClient.Result.Response.class, call(loop, client, address));
            assertEquals(List.of(), events.errors());
        } finally {
            server.stop(0);
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    private static ControlClient.Result call(EventLoop loop, ControlClient client, Endpoint address)
            throws Exception {
        CompletableFuture<ControlClient.Result> result = new CompletableFuture<>();
        loop.execute(() -> client.send(address, "GET", "/", new byte[0], 2_000, result::complete));
        return result.get(5, TimeUnit.SECONDS);
    }
}
