package org.azureshed.simulation;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/** One end of a simulated connection. */
final class ConnectionEnd {
    /** Bytes that may be on their way or unread at the peer. */
    private static final int WINDOW_BYTES = 64 << 10;

    /** Receives the events of one end. */
    interface Listener {
        /** The connection is established. */
        default void connected() {}

        /** Nobody listens at the address. */
        default void refused() {}

        /** Bytes or the end of the connection can be read. */
        void readable();

        /** The peer has read; there is room for more. */
        default void writable() {}
    }

    private record Delivery(long atNanos, Runnable task) {}

    private final SimulatedNetwork network;
    private final String localIp;
    private final String remoteIp;
    private final SimulatedProcess process;
    private final Deque<Delivery> outgoing = new ArrayDeque<>();
    private final Deque<byte[]> inbox = new ArrayDeque<>();
    private Listener listener;
    private ConnectionEnd peer;
    private long unreadBytes;
    private long sentUnreadBytes;
    private boolean established;
    private boolean closed;
    private boolean outputFinished;
    private boolean ended;
    private boolean reset;

    ConnectionEnd(
            SimulatedNetwork network, String localIp, String remoteIp, SimulatedProcess process) {
        this.network = network;
        this.localIp = localIp;
        this.remoteIp = remoteIp;
        this.process = process;
    }

    String localIp() {
        return localIp;
    }

    String remoteIp() {
        return remoteIp;
    }

    SimulatedProcess process() {
        return process;
    }

    void listener(Listener next) {
        listener = next;
    }

    void peer(ConnectionEnd other) {
        peer = other;
    }

    boolean isEstablished() {
        return established && !closed;
    }

    /** Whether the peer will send nothing more and all that it sent has been read. */
    boolean isAtEnd() {
        return (ended || reset) && inbox.isEmpty();
    }

    /** Whether the connection was reset by the peer. */
    boolean isReset() {
        return reset;
    }

    boolean isClosed() {
        return closed;
    }

    /** Puts a delivery to the other side on its way, behind those sent before. */
    void send(Runnable task) {
        long atNanos = network.time().nanos() + network.latencyNanos(localIp, remoteIp);
        if (!outgoing.isEmpty()) {
            atNanos = Math.max(atNanos, outgoing.getLast().atNanos());
        }
        outgoing.add(new Delivery(atNanos, task));
        network.time().at(atNanos, this::pump);
    }

    /** Delivers what is due, unless the path is blocked. */
    void pump() {
        while (!outgoing.isEmpty()
                && outgoing.getFirst().atNanos() <= network.time().nanos()
                && !network.isBlocked(localIp, remoteIp)) {
            outgoing.removeFirst().task().run();
        }
    }

    void established() {
        established = true;
        if (listener != null && !closed) {
            listener.connected();
        }
    }

    void refused() {
        if (!closed) {
            closed = true;
            network.forget(this);
            listener.refused();
        }
    }

    /** Bytes that can be written now. */
    int room() {
        return (int) (WINDOW_BYTES - sentUnreadBytes);
    }

    void write(byte[] bytes) {
        if (closed || outputFinished) {
            return;
        }
        sentUnreadBytes += bytes.length;
        send(() -> peer.arrived(bytes));
    }

    private void arrived(byte[] bytes) {
        if (closed) {
            send(() -> peer.arrivedReset());
        } else if (!reset) {
            inbox.add(bytes);
            unreadBytes += bytes.length;
            listener.readable();
        }
    }

    private void arrivedEnd() {
        if (!closed && !reset) {
            ended = true;
            listener.readable();
        }
    }

    private void arrivedReset() {
        if (!closed) {
            reset = true;
            listener.readable();
        }
    }

    /** Takes the bytes of one write of the peer; null if there are none. */
    byte[] read() {
        byte[] bytes = inbox.poll();
        if (bytes != null) {
            taken(bytes.length);
        }
        return bytes;
    }

    /** Takes a single byte; false if there is none. */
    boolean readByte() {
        byte[] first = inbox.poll();
        if (first == null) {
            return false;
        }
        if (first.length > 1) {
            inbox.addFirst(Arrays.copyOfRange(first, 1, first.length));
        }
        taken(1);
        return true;
    }

    private void taken(int bytes) {
        unreadBytes -= bytes;
        send(
                () -> {
                    peer.sentUnreadBytes -= bytes;
                    if (!peer.closed) {
                        peer.listener.writable();
                    }
                });
    }

    /** Announces that nothing more will be written. */
    void finishOutput() {
        if (!closed && !outputFinished) {
            outputFinished = true;
            send(() -> peer.arrivedEnd());
        }
    }

    /** Closes as a kernel does: with a reset if there are unread bytes. */
    void close() {
        if (closed) {
            return;
        }
        if (unreadBytes > 0) {
            abort();
            return;
        }
        finishOutput();
        markClosed();
    }

    /** Resets the connection. */
    void abort() {
        if (!closed) {
            markClosed();
            send(
                    () -> {
                        if (peer != null) {
                            peer.arrivedReset();
                        }
                    });
        }
    }

    private void markClosed() {
        closed = true;
        network.forget(this);
        inbox.clear();
    }
}
