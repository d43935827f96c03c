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
 * Relays TCP connections to another address and injects network faults. It can cut either
 * direction, delay all bytes, reset the open connections, or stall them permanently while new ones
 * work. Bytes of a cut direction are kept and forwarded when it is restored, as TCP would do by
 * retransmission.
 */
final class FaultInjectingRelay implements AutoCloseable {
    private static final int BUFFER_SIZE_BYTES = 16 << 10;
    private static final int LISTEN_BACKLOG = 256;
    private static final long POLL_INTERVAL_MILLIS = 10;

    private final ServerSocket listener;
    private final InetSocketAddress destination;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<Socket> stalled = ConcurrentHashMap.newKeySet();
    private volatile Set<Direction> cutDirections = Set.of();
    private volatile long delayMillis;

    /** Direction of the bytes, as seen by the client of the relay. */
    enum Direction {
        REQUESTS,
        RESPONSES
    }

    FaultInjectingRelay(int destination) throws IOException {
        this(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), destination));
    }

    FaultInjectingRelay(InetSocketAddress listen, InetSocketAddress destination)
            throws IOException {
        this.listener = new ServerSocket(listen.getPort(), LISTEN_BACKLOG, listen.getAddress());
        this.destination = destination;
        Thread.startVirtualThread(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Stops forwarding in the given directions until {@link #restore}. */
    void cut(Direction first, Direction... rest) {
        cutDirections = EnumSet.of(first, rest);
    }

    /** Delays each chunk of bytes, in both directions. */
    void delay(long millis) {
        delayMillis = millis;
    }

    /** Ends cuts and delays; stalled connections stay stalled. */
    void restore() {
        cutDirections = Set.of();
        delayMillis = 0;
    }

    /** Resets the open connections. */
    void resetConnections() throws IOException {
        for (Socket socket : sockets) {
            if (!socket.isClosed()) {
                socket.setOption(StandardSocketOptions.SO_LINGER, 0);
                socket.close();
            }
        }
    }

    /** Permanently stops forwarding on the open connections without closing them. */
    void stallConnections() {
        stalled.addAll(sockets);
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                Thread.startVirtualThread(() -> connect(client));
            }
        } catch (IOException closed) {
            // The relay was closed.
        }
    }

    private void connect(Socket client) {
        sockets.add(client);
        Socket server = new Socket();
        try {
            server.connect(destination);
        } catch (IOException refused) {
            // Nothing listens at the destination: its process is down.
            closeQuietly(client);
            return;
        }
        sockets.add(server);
        Thread.startVirtualThread(() -> forward(client, server, Direction.REQUESTS));
        Thread.startVirtualThread(() -> forward(server, client, Direction.RESPONSES));
    }

    private void closeQuietly(Socket socket) {
        sockets.remove(socket);
        try {
            socket.setOption(StandardSocketOptions.SO_LINGER, 0);
            socket.close();
        } catch (IOException closed) {
            // The peer has already closed it.
        }
    }

    private void forward(Socket from, Socket to, Direction direction) {
        try (from;
                to) {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            byte[] buffer = new byte[BUFFER_SIZE_BYTES];
            int length = input.read(buffer);
            while (length >= 0) {
                long delay = delayMillis;
                if (delay > 0) {
                    Uninterruptibles.sleepUninterruptibly(delay, TimeUnit.MILLISECONDS);
                }
                while (isBlocked(from, direction)) {
                    Uninterruptibles.sleepUninterruptibly(
                            POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                }
                output.write(buffer, 0, length);
                length = input.read(buffer);
            }
        } catch (IOException closed) {
            // One side closed its connection; the try block closes the other side.
        } finally {
            sockets.remove(from);
            sockets.remove(to);
            stalled.remove(from);
            stalled.remove(to);
        }
    }

    private boolean isBlocked(Socket from, Direction direction) {
        return (cutDirections.contains(direction) || stalled.contains(from))
                && !listener.isClosed();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
