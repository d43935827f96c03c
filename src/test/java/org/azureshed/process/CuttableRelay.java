package org.azureshed.process;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Passes TCP connections on to a port and can cut either direction. Bytes of a cut direction are
 * held and passed on when it is restored, as TCP does by sending lost segments again.
 */
final class CuttableRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final long POLL_MILLIS = 10;

    private final ServerSocket listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final int target;
    private volatile Set<Direction> cut = Set.of();

    /** Direction of the bytes, seen from the client of the relay. */
    enum Direction {
        REQUESTS,
        ANSWERS
    }

    CuttableRelay(int target) throws IOException {
        this.target = target;
        Thread.startVirtualThread(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    void cut(Direction first, Direction... rest) {
        cut = EnumSet.of(first, rest);
    }

    void restore() {
        cut = Set.of();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                Socket server = new Socket(listener.getInetAddress(), target);
                sockets.add(client);
                sockets.add(server);
                Thread.startVirtualThread(() -> pass(client, server, Direction.REQUESTS));
                Thread.startVirtualThread(() -> pass(server, client, Direction.ANSWERS));
            }
        } catch (IOException closed) {
            // The end of the test, or of the process behind the relay.
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
                while (cut.contains(direction) && !listener.isClosed()) {
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
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
