package org.azureshed.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.Endpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks control calls to a server whose open connections carry nothing further. */
class MuteConnectionTest {
    private static final long TIMEOUT_MILLIS = 500;

    private volatile boolean mute;

    /** Guards against calls that are lost one after the other on kept connections. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void oneCallAtMostIsLostOnMuteConnections(int connections) throws Exception {
        RecordingEvents events = new RecordingEvents();
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"))) {
            Thread.startVirtualThread(() -> accept(server));
            EventLoop loop = group.next();
            ControlClient client =
                    new ControlClient(
                            loop, new ConnectionPool(loop, 300, 30_000, List.of(), events), events);
            List<CompletableFuture<ControlClient.Result>> first = new ArrayList<>();
            for (int i = 0; i < connections; i++) {
                first.add(send(loop, client, server));
            }
            for (CompletableFuture<ControlClient.Result> result : first) {
                assertTrue(answered(result));
            }
            mute = true;
            int lost = 0;
            for (int i = 0; i < connections + 1; i++) {
                lost += answered(send(loop, client, server)) ? 0 : 1;
            }
            assertEquals(1, lost);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    private static boolean answered(CompletableFuture<ControlClient.Result> result)
            throws Exception {
        return result.get(5, TimeUnit.SECONDS) instanceof ControlClient.Result.Response;
    }

    private static CompletableFuture<ControlClient.Result> send(
            EventLoop loop, ControlClient client, ServerSocket server) {
        CompletableFuture<ControlClient.Result> result = new CompletableFuture<>();
        Endpoint address = new Endpoint("127.0.0.1", server.getLocalPort());
        loop.execute(
                () ->
                        client.send(
                                address,
                                "GET",
                                "/a",
                                new byte[0],
                                TIMEOUT_MILLIS,
                                result::complete));
        return result;
    }

    private void accept(ServerSocket server) {
        try {
            while (true) {
                Socket socket = server.accept();
                boolean wasMute = mute;
                Thread.startVirtualThread(() -> answer(socket, wasMute));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    /** Answers the requests on a connection; one from before the fault is mute from then on. */
    private void answer(Socket socket, boolean openedDuringFault) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.isEmpty() && (!mute || openedDuringFault)) {
                    // Late enough for each of several calls to need a connection of its own.
                    TimeUnit.MILLISECONDS.sleep(20);
                    socket.getOutputStream()
                            .write(
                                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
                                            .getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        } catch (IOException closed) {
            // The client gave up the call.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
