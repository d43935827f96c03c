package org.azureshed.process;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Passes TCP connections on to a port. It can cut either direction, delay all bytes, reset the open
 * connections, or silence them for good while new ones work. Bytes of a cut direction are held and
 * passed on when it is restored, as TCP does by sending lost segments again.
 */
final class CuttableRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int BACKLOG = 256;
    private static final long POLL_MILLIS = 10;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private volatile Set<Direction> cut = Set.of();
    private volatile long delayMillis;

    /** Direction of the bytes, seen from the client of the relay. */
    enum Direction {
        REQUESTS,
        ANSWERS
    }

    CuttableRelay(int target) throws IOException {
        this(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), target));
    }

    CuttableRelay(InetSocketAddress listen, InetSocketAddress target) throws IOException {
        this.listener = new ServerSocket(listen.getPort(), BACKLOG, listen.getAddress());
        this.target = target;
        Thread.startVirtualThread(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    void cut(Direction first, Direction... rest) {
        cut = EnumSet.of(first, rest);
    }

    /** Delays the bytes of both directions. */
    void delay(long millis) {
        delayMillis = millis;
    }

    /** Ends cuts and delays. */
    void restore() {
        cut = Set.of();
        delayMillis = 0;
    }

    /** Resets the open connections. */
    void reset() throws IOException {
        for (Socket socket : sockets) {
            if (!socket.isClosed()) {
                socket.setOption(StandardSocketOptions.SO_LINGER, 0);
                socket.close();
            }
        }
    }

    /** Open connections carry nothing any more and stay open. */
    void silence() {
        silent.addAll(sockets);
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                Thread.startVirtualThread(() -> connect(client));
            }
        } catch (IOException closed) {
            // The end of the test.
        }
    }

    private void connect(Socket client) {
        sockets.add(client);
        Socket server = new Socket();
        try {
            server.connect(target);
        } catch (IOException refused) {
            // The process behind the relay is down.
            closeQuietly(client);
            return;
        }
        sockets.add(server);
        Thread.startVirtualThread(() -> pass(client, server, Direction.REQUESTS));
        Thread.startVirtualThread(() -> pass(server, client, Direction.ANSWERS));
    }

    private void closeQuietly(Socket socket) {
        sockets.remove(socket);
        try {
            socket.setOption(StandardSocketOptions.SO_LINGER, 0);
            socket.close();
        } catch (IOException closed) {
            // It was closed by its other end.
        }
    }

    private void pass(Socket from, Socket to, Direction direction) {
        try (from;
                to) {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            int count = input.read(buffer);
            while (count >= 0) {
                long delay = delayMillis;
                if (delay > 0) {
                    Uninterruptibles.sleepUninterruptibly(delay, TimeUnit.MILLISECONDS);
                }
                while (held(from, direction)) {
                    Uninterruptibles.sleepUninterruptibly(POLL_MILLIS, TimeUnit.MILLISECONDS);
                }
                output.write(buffer, 0, count);
                count = input.read(buffer);
            }
        } catch (IOException closed) {
            // One end has closed the connection; the other one is closed too.
        } finally {
            sockets.remove(from);
            sockets.remove(to);
            silent.remove(from);
            silent.remove(to);
        }
    }

    private boolean held(Socket from, Direction direction) {
        return (cut.contains(direction) || silent.contains(from)) && !listener.isClosed();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
